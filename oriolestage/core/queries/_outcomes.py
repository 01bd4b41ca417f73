"""The outcomes of shard requests and caller requests, as tagged data.

Every request ends as one of three outcomes. ``NotRun`` is a promise that no
target started the work; ``MayHaveRun`` is the answer whenever that cannot be
shown. Each outcome that is not an answer names the step and the peer at which
it arose.
"""

import enum

import msgspec


class Reason(enum.Enum):
    """Why a request was refused or given up."""

    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    NO_TARGET = 'no_target'
    NOT_ACCEPTING = 'not_accepting'
    NOT_OWNER = 'not_owner'
    ACQUIRING = 'acquiring'
    SNAPSHOT_UNAVAILABLE = 'snapshot_unavailable'
    TARGET_REFUSED = 'target_refused'
    TARGET_LOST = 'target_lost'
    TARGET_TIMEOUT = 'target_timeout'
    TARGET_ERROR = 'target_error'
    PEER_LOST = 'peer_lost'
    STALE_CONFIGURATION = 'stale_configuration'
    STORE_UNAVAILABLE = 'store_unavailable'
    QUARANTINED = 'quarantined'
    DUPLICATE = 'duplicate'
    CANCELLED = 'cancelled'
    UNKNOWN_ROUTE = 'unknown_route'
    KEY_EXPIRED = 'key_expired'
    KEY_REUSED = 'key_reused'


class KeyRange(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A half-open range of the key space."""

    #: First key covered.
    start: int
    #: First key not covered.
    end: int


class Answered(msgspec.Struct, frozen=True, tag='answered'):
    """A target answered for one shard."""

    #: Index version that the target read.
    version: int
    #: Part of the key space that the target read.
    covered: KeyRange
    #: Revision of the partition map that the target used.
    partition_revision: int
    #: Rows of the answer, as JSON text of a list.
    rows: bytes


class NotRun(msgspec.Struct, frozen=True, tag='not_run'):
    """No target started the work."""

    reason: Reason
    #: Step at which the request was refused, such as ``owner.queue``.
    step: str
    #: Host or target at which it was refused.
    peer: str
    #: Earliest useful time to ask again, in milliseconds from now.
    retry_after_ms: int = 0
    #: Index versions that the target serves, when it said so.
    versions: tuple[int, ...] = ()


class MayHaveRun(msgspec.Struct, frozen=True, tag='may_have_run'):
    """The work may have been started, and its answer is not known."""

    reason: Reason
    step: str
    peer: str
    retry_after_ms: int = 0


ShardOutcome = Answered | NotRun | MayHaveRun


class Coverage(msgspec.Struct, frozen=True):
    """What an answer covers of the key space of its route."""

    #: Ranges that were read, joined and in order.
    covered: tuple[KeyRange, ...]
    #: Ranges that were wanted and not read.
    missing: tuple[KeyRange, ...]

    @property
    def whole(self) -> bool:
        """Tell whether nothing that was wanted is missing."""
        return not self.missing


class QueryAnswer(msgspec.Struct, frozen=True, tag='answer'):
    """The answer to a query over all shards of a group."""

    #: The one index version that every row was read from.
    version: int
    coverage: Coverage
    #: Row lists of the shards, each as JSON text of a list.
    rows: tuple[bytes, ...]
    #: Outcomes of the shards that gave no rows.
    lacking: tuple[NotRun | MayHaveRun, ...] = ()


class CommandAnswer(msgspec.Struct, frozen=True, tag='command_answer'):
    """The answer to a request that runs at most once."""

    answer: Answered
    #: True when the answer was kept from an earlier run of the same key.
    replayed: bool = False


CallerOutcome = QueryAnswer | CommandAnswer | NotRun | MayHaveRun
