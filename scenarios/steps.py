"""Scenarios as typed data."""

import dataclasses
import enum


class TargetSign(enum.Enum):
    """What happens to a target."""

    COLD = 'turns cold'
    #: It refuses work and says so in responses only.
    LEAVES = 'leaves'
    #: The host list shows it leaving; it says nothing itself.
    LISTED = 'is listed as leaving'
    RETURNS = 'returns'


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Ends a process without warning."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Starts a process again, as a new one."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stops a host as planned."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """Pauses a process."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Thaw:
    """Lets a paused process go on."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Drops what goes from one part to another, or both ways."""

    one: str
    other: str
    one_way: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Heal:
    """Ends a cut."""

    one: str
    other: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """Changes what is wrong with the store."""

    down: bool = False
    slow_s: float = 0
    lose_replies: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEvent:
    """Something happens to a target, or to all when the name is ``all``."""

    name: str
    sign: TargetSign


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersions:
    """A target serves other index versions."""

    name: str
    versions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetKeys:
    """A target covers another range of keys."""

    name: str
    start: int
    end: int
    partition_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Operate:
    """An operator types a command."""

    command: str
    #: The host asked, or empty for any.
    through: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRequest:
    """A request that crashes its targets is sent several times."""

    times: int


Action = (
    Kill
    | Start
    | Stop
    | Freeze
    | Thaw
    | Cut
    | Heal
    | StoreFault
    | TargetEvent
    | TargetVersions
    | TargetKeys
    | Operate
    | CrashRequest
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """An action at a time."""

    at_s: float
    action: Action


@dataclasses.dataclass(frozen=True, slots=True)
class NoWork:
    """No new work reaches a target or data centre in a span of time."""

    name: str
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MinShare:
    """At least a share of answers have an outcome, in per cent."""

    percent: int
    outcome: str
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InForceEverywhere:
    """A revision is in force on every running host at the end."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorOutcome:
    """An operator's command ended in one of some ways."""

    operator: str
    outcomes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MaxCrashed:
    """At most so many targets are lost to requests that crash them."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyBelow:
    """A percentile of the latency of queries stays below a bound.

    Commands do not count: they run once, so a straggler cannot be hedged.
    """

    percentile: int
    bound_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalsWithin:
    """Refusals come at once, each with a time to come back."""

    bound_s: float


Expectation = (
    RefusalsWithin
    | LatencyBelow
    | MaxCrashed
    | NoWork
    | MinShare
    | InForceEverywhere
    | OperatorOutcome
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario file."""

    users: tuple[str, ...]
    services: int
    hosts: int
    rate: int
    #: ``query``, ``command`` or empty for both.
    load_kind: str
    switched_off: tuple[str, ...]
    steps: tuple[Step, ...]
    end_s: float
    expectations: tuple[Expectation, ...]
