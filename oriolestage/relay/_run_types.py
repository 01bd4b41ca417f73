"""What a run of a request is given and what it asks for."""

import dataclasses
from collections.abc import Mapping

from oriolestage.relay._answers import RequestResult
from oriolestage.relay._extra_budget import ExtraBudget
from oriolestage.relay._facts import HostRecord
from oriolestage.relay._placement_types import Wanted
from oriolestage.relay._targets import KnownTarget


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimes:
    """When a request came and when it has to be over, in steady time."""

    started: float
    #: Time until which an answer that leaves this host has its full use.
    objective: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartRequest:
    """One service that a request needs."""

    requirements: Wanted
    budget: ExtraBudget


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a target."""

    attempt: int
    target: KnownTarget
    #: Steady time at which the target may stop.
    deadline: float
    hedge: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BatchPart:
    """One shard of a batch."""

    attempt: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendBatch:
    """Ask another host to gather shards in its region."""

    batch: int
    peer: HostRecord
    parts: tuple[BatchPart, ...]
    #: Regions that may serve the shards.
    regions: frozenset[str]
    #: Records that the host has to return at most.
    top_records: int
    #: True if records come merged, which is smaller. A shard may be in one
    #: merged batch only, since its records cannot be taken out again.
    merged: bool
    #: Records that do not exceed this one are of no use; empty: all are.
    floor: bytes
    #: Work after which a shard is late before its siblings answered, and
    #: the work that this request takes as far as it is known, in seconds.
    late_s: float
    work_s: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt or a batch whose answer is of no more use."""

    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End the request."""

    result: RequestResult


Action = SendAttempt | SendBatch | CancelAttempt | Finish


@dataclasses.dataclass(frozen=True, slots=True)
class BatchAnswered:
    """What another host gathered."""

    #: Signature of each shard that answered, by service.
    signatures: dict[str, str]
    #: The greatest records of those shards together, if they are merged.
    body: bytes
    #: The greatest records of each shard by service, if they are not.
    bodies: dict[str, bytes]
    #: Services whose shards ended without an answer.
    failed: frozenset[str]
    #: False if late shards may still be answered.
    final: bool
    #: Work of the shards that answered, in seconds.
    work_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BatchDeclined:
    """Shards that the other host has no room or no target for.

    They certainly did not get the request.
    """

    #: Time after which a shard may have room, in seconds, by service.
    retry_after_s: Mapping[str, float]
    #: True if nothing else of the batch follows.
    final: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLost:
    """The other host gave no answer; its shards may have run."""

    #: Step at which it was lost, with the error.
    step: str
    #: True if the other host did not get the batch.
    not_sent: bool


BatchOutcome = BatchAnswered | BatchDeclined | BatchLost
