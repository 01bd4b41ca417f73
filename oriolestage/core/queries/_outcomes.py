"""The outcomes of shard requests and of caller requests, as tagged structs.

Every request ends with an answer, ``NotRun`` or ``MayHaveRun``. ``NotRun``
guarantees that no target started the work; ``MayHaveRun`` is returned whenever
that cannot be guaranteed. Both name the step and the peer at which the request
ended.
"""

import enum

import msgspec


class Reason(enum.Enum):
    """Why a request was refused or ended without an answer."""

    #: The targets have no free slot in time.
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    #: No target of the service is available before the deadline.
    NO_TARGET = 'no_target'
    #: The configuration excludes the target, or the target is leaving.
    NOT_ACCEPTING = 'not_accepting'
    #: The host that was asked does not own the target or the key.
    NOT_OWNER = 'not_owner'
    #: The new owner waits until the former one has released the target.
    ACQUIRING = 'acquiring'
    #: The index version of the query is not served, or was not answered from.
    SNAPSHOT_UNAVAILABLE = 'snapshot_unavailable'
    TARGET_REFUSED = 'target_refused'
    #: The connection to the target failed.
    TARGET_LOST = 'target_lost'
    TARGET_TIMEOUT = 'target_timeout'
    TARGET_ERROR = 'target_error'
    #: The connection to the host that owns the target failed.
    PEER_LOST = 'peer_lost'
    #: The host has no configuration that was confirmed recently.
    STALE_CONFIGURATION = 'stale_configuration'
    #: The store did not confirm the claim of an idempotency key.
    STORE_UNAVAILABLE = 'store_unavailable'
    #: Requests with this fingerprint made several targets crash.
    QUARANTINED = 'quarantined'
    #: The key was granted before and the outcome of that run is not known.
    DUPLICATE = 'duplicate'
    #: The caller disconnected.
    CANCELLED = 'cancelled'
    UNKNOWN_ROUTE = 'unknown_route'
    #: The idempotency key is older than its retention, in the future or
    #: invalid.
    KEY_EXPIRED = 'key_expired'
    #: The idempotency key was used before for another request.
    KEY_REUSED = 'key_reused'
    #: An unexpected error ended the processing of the request.
    INTERNAL_ERROR = 'internal_error'
    #: The host that was asked is being stopped.
    STOPPING = 'stopping'


class KeyRange(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A half-open range of the key space."""

    #: First key covered.
    start: int
    #: First key not covered.
    end: int


class Answered(msgspec.Struct, frozen=True, tag='answered'):
    """The answer of a target to a shard request or a command."""

    #: Index version that the target read.
    version: int
    #: Range of the key space that the target read.
    covered: KeyRange
    #: Revision of the partition map that the target used.
    partition_revision: int
    #: Rows of the answer, as a JSON array.
    rows: bytes


class NotRun(msgspec.Struct, frozen=True, tag='not_run'):
    """No target started the work; sending it again cannot run it twice."""

    reason: Reason
    #: Step at which the request ended, such as ``owner.admission``.
    step: str
    #: Host, target, service, group, route or key that the step concerns.
    peer: str
    #: Suggested delay before the next try, in milliseconds.
    retry_after_ms: int = 0
    #: Index versions that the target serves; empty when not known.
    versions: tuple[int, ...] = ()


class MayHaveRun(msgspec.Struct, frozen=True, tag='may_have_run'):
    """A target may have started the work, and there is no answer."""

    reason: Reason
    step: str
    peer: str
    retry_after_ms: int = 0


ShardOutcome = Answered | NotRun | MayHaveRun


class Coverage(msgspec.Struct, frozen=True):
    """Which ranges of the key space an answer covers and which it lacks."""

    #: Ranges that were read, merged and sorted.
    covered: tuple[KeyRange, ...]
    #: Ranges that should have been read and were not, sorted.
    missing: tuple[KeyRange, ...]

    @property
    def whole(self) -> bool:
        """Whether no range is missing."""
        return not self.missing


class QueryAnswer(msgspec.Struct, frozen=True, tag='answer'):
    """The answer to a query over all shards of a group."""

    #: The one index version that every row was read from.
    version: int
    coverage: Coverage
    #: Rows of each shard as a JSON array, sorted by key range.
    rows: tuple[bytes, ...]
    #: Outcomes of the shards whose rows are not in the answer.
    lacking: tuple[NotRun | MayHaveRun, ...] = ()


class CommandAnswer(msgspec.Struct, frozen=True, tag='command_answer'):
    """The answer to a command, a request that runs at most once."""

    answer: Answered
    #: True when the answer is of an earlier run with the same key.
    replayed: bool = False


CallerOutcome = QueryAnswer | CommandAnswer | NotRun | MayHaveRun
