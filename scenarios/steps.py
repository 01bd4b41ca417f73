"""Data model of scenarios: steps, actions and expectations."""

import dataclasses
import enum


class TargetSign(enum.Enum):
    """Change of a target's state, as scenario files spell it."""

    #: It can carry only little load until it has warmed up again.
    COLD = 'turns cold'
    #: It refuses new work and reports this only in its responses.
    LEAVES = 'leaves'
    #: The host list marks it as leaving; its own responses do not.
    LISTED = 'is listed as leaving'
    #: It accepts work again, and is cold.
    RETURNS = 'returns'


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Kill a host or target process without warning."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a host or target again, as a new process."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop a host gracefully: it drains its requests first."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """Pause a process."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Thaw:
    """Resume a paused process."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """Drop all messages between two hosts, or between a host and the store.

    With ``one_way`` only messages from ``one`` to ``other`` are dropped.
    """

    one: str
    other: str
    one_way: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Heal:
    """Restore a cut link in both directions."""

    one: str
    other: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """Replace the faults of the store; the defaults clear all faults."""

    down: bool = False
    #: Added latency; the core engine adds it to calls and to replies.
    slow_s: float = 0
    #: Number of writes that are applied but whose replies are lost.
    lose_replies: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEvent:
    """Change the state of a target, or of all when the name is ``all``."""

    name: str
    sign: TargetSign


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersions:
    """Replace the index versions that a target serves."""

    name: str
    versions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetKeys:
    """Replace the key range that a target covers."""

    name: str
    start: int
    end: int
    partition_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Operate:
    """Send an operator's command."""

    command: str
    #: Host that receives the command; empty for any running host.
    through: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRequest:
    """Send a request that crashes each target that runs it.

    It is sent ``times`` times, once a second.
    """

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
    """An action and its time, in seconds from the start of the scenario."""

    at_s: float
    action: Action


@dataclasses.dataclass(frozen=True, slots=True)
class NoWork:
    """Expect that no request reaches a target or data centre in a period."""

    name: str
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MinShare:
    """Expect an outcome in at least ``percent`` per cent of the answers.

    Only requests sent in the period count: commands if the outcome is
    ``command_answer``, otherwise queries.
    """

    percent: int
    outcome: str
    from_s: float
    to_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InForceEverywhere:
    """Expect a revision in force on every running host at the end."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorOutcome:
    """Expect that a command of an operator has one of these outcomes."""

    operator: str
    outcomes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MaxCrashed:
    """Expect at most ``count`` targets crashed by requests."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyBelow:
    """Expect a latency percentile of queries below a bound.

    Commands do not count: they must not run twice, so stragglers among them
    cannot be hedged.
    """

    percentile: int
    bound_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalsWithin:
    """Expect refusals for overload to be fast and to carry a retry time."""

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
    """A parsed scenario file."""

    #: Users whose groups and routes are set up: association or franchise.
    users: tuple[str, ...]
    #: Services in each query group.
    services: int
    hosts: int
    #: Requests per second from all callers.
    rate: int
    #: ``query``, ``command`` or empty for both.
    load_kind: str
    #: Names of mechanisms to switch off, see ``switch_off``.
    switched_off: tuple[str, ...]
    steps: tuple[Step, ...]
    end_s: float
    expectations: tuple[Expectation, ...]
