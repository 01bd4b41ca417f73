"""Inputs, actions and batch outcomes of a request run."""

import dataclasses
from collections.abc import Mapping

from oriolestage.routing._answers import GiveUpReason, RequestResult
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._placement_types import TargetRequirements
from oriolestage.routing._retry_budget import RetryBudget
from oriolestage.routing._targets import KnownTarget


#: Share of the latency objective within which a refusal reaches the caller, so
#: that another host can still serve the request in time.
REFUSAL_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimes:
    """Arrival, latency objective and deadline of a request.

    All times are monotonic, in seconds.
    """

    started: float
    #: Latest time at which an answer sent by this host meets the route's
    #: latency objective.
    objective: float
    #: Time at which the request ends, with or without an answer.
    deadline: float
    #: How long before the objective a partial answer is given, in seconds.
    delivery_margin_s: float
    #: Why a request without an answer ends at its deadline.
    deadline_reason: GiveUpReason = GiveUpReason.DEADLINE
    #: Time that the caller loses to the network, in seconds; the objective
    #: has it subtracted.
    network_delay_s: float = 0
    #: Time from the decision on a refusal until it has left, in seconds.
    refusal_margin_s: float = 0
    #: Whether a refusal has to reach the caller within `REFUSAL_SHARE`; else
    #: only the wait for a free target is limited.
    limits_refusals: bool = True

    @property
    def wait_s(self) -> float:
        """Longest time for which a part waits for a free target, in seconds."""
        return (self.objective - self.started) * REFUSAL_SHARE

    @property
    def refuse_by(self) -> float:
        """Monotonic time by which a refusal has to be decided to be in time.

        It reaches the caller within `REFUSAL_SHARE` of the latency objective,
        counted from when the caller sent the request. There is no such time,
        negative infinity, if refusals are not limited.
        """
        if not self.limits_refusals:
            return float('-inf')
        network_delay_s = self.network_delay_s
        objective_s = self.objective + network_delay_s - self.started
        spent_s = network_delay_s + self.refusal_margin_s
        return self.started + objective_s * REFUSAL_SHARE - spent_s

    def ended_by_stop(self, ends_at: float) -> 'RunTimes':
        """Return the times at a host that ends all requests by ``ends_at``."""
        if self.deadline <= ends_at:
            return self
        return dataclasses.replace(
            self, deadline=ends_at, deadline_reason=GiveUpReason.STOPPING
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PartRequest:
    """One service that a request needs, with its shared retry budget."""

    requirements: TargetRequirements
    budget: RetryBudget


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request directly to a target."""

    attempt: int
    target: KnownTarget
    #: Monotonic time after which the target may stop working on it.
    deadline: float
    #: True for a second attempt made because the first one is late.
    hedge: bool
    #: The host that chooses a target and sends the attempt there; None if
    #: this host sends it to ``target``.
    relay: HostRecord | None = None
    #: True if an attempt of the same part was made before.
    repeat: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BatchPart:
    """One shard of a batch and the number of its attempt."""

    attempt: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendBatch:
    """Ask an entry host of another region to gather shards there."""

    batch: int
    peer: HostRecord
    parts: tuple[BatchPart, ...]
    #: Regions that may serve the shards.
    regions: frozenset[str]
    #: Maximum number of records that the host returns.
    top_records: int
    #: True if the records of all shards that are in time are returned as one
    #: merged body, which is smaller. A shard may be in only one merged
    #: batch, because its records cannot be removed from a merged body.
    merged: bool
    #: Only records greater than this one can enter the answer; empty if all
    #: can.
    floor: bytes
    #: Processing time in seconds after which a shard counts as late while
    #: too few of its siblings have answered to compare with.
    late_s: float
    #: Estimated processing time of a shard of this request, in seconds.
    work_s: float
    #: Monotonic time at which the request ends.
    deadline: float
    #: True if attempts of the same parts were made before.
    repeat: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt or a batch whose answer is no longer needed."""

    #: Number of the attempt or of the batch.
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End the request with a result."""

    result: RequestResult


Action = SendAttempt | SendBatch | CancelAttempt | Finish


@dataclasses.dataclass(frozen=True, slots=True)
class BatchAnswered:
    """A reply with shards that another host gathered since its last one."""

    #: Signature of each shard that answered, by service.
    signatures: dict[str, str]
    #: The greatest records of those shards in one body if the reply is
    #: merged, else empty. The replies that bring late shards are not merged.
    body: bytes
    #: The greatest records of each shard by service; empty if merged.
    bodies: dict[str, bytes]
    #: Services whose attempts ended without an answer.
    failed: frozenset[str]
    #: False if further replies with late shards follow.
    final: bool
    #: Median processing time of the shards that answered so far, or the
    #: estimated one before the first answer, in seconds.
    work_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BatchDeclined:
    """Shards for which the other host has no free target.

    The request was not sent to any target of these shards.
    """

    #: Time in seconds after which a target may be free, by service.
    retry_after_s: Mapping[str, float]
    #: True if no further reply to the batch follows.
    final: bool
    #: Those of the services whose targets the other host does not reach. This
    #: says nothing about the targets themselves.
    unreachable: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLost:
    """The final reply to a batch did not come; shards may have run."""

    #: Step at which the batch was lost, with the cause.
    step: str
    #: True if the batch certainly did not reach the other host.
    not_sent: bool


BatchOutcome = BatchAnswered | BatchDeclined | BatchLost
