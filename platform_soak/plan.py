"""The plan of a run: what happens when.

A plan is written as JSON, which can be edited and played again.
"""

from pathlib import Path
from typing import Annotated, Literal, get_args

import msgspec

#: Hosts by number, and targets by number; see `deployment`.
HOST_COUNT = 6
StoreWay = Literal['busy', 'silent', 'reset']
OddKind = Literal['nested', 'number', 'port', 'bytes', 'types', 'large']
BrokenWay = Literal['head', 'body', 'reset', 'extra', 'garbage', 'status_500']
RolloutKind = Literal['good', 'failing', 'slow']
ZoneName = Literal['marmara-a', 'ege-a', 'ic-anadolu-a']
STORE_WAYS: tuple[StoreWay, ...] = get_args(StoreWay)
ODD_ENTRIES: tuple[OddKind, ...] = get_args(OddKind)
BROKEN_ANSWERS: tuple[BrokenWay, ...] = get_args(BrokenWay)
ROLLOUTS: tuple[RolloutKind, ...] = get_args(RolloutKind)
ZONES: tuple[ZoneName, ...] = get_args(ZoneName)

#: A number of a host or a target, and a time in seconds.
HostNumber = Annotated[int, msgspec.Meta(ge=0, lt=HOST_COUNT)]
TargetNumber = Annotated[int, msgspec.Meta(ge=0)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class PlanError(Exception):
    """A file has no plan."""


class _Fault(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    #: Time since the start of traffic, in seconds.
    at_s: Seconds


class StopHost(_Fault, frozen=True, tag=True):
    """SIGTERM, SIGKILL at the end of the grace, and a start after that."""

    host: HostNumber
    #: Time between the end and the start, in seconds.
    down_s: Seconds = 0


class KillHost(_Fault, frozen=True, tag=True):
    """SIGKILL, and a start some time later."""

    host: HostNumber
    down_s: Seconds


class PauseHost(_Fault, frozen=True, tag=True):
    """SIGSTOP, and SIGCONT some time later."""

    host: HostNumber
    for_s: Seconds


class ReloadHost(_Fault, frozen=True, tag=True):
    """SIGHUP."""

    host: HostNumber


class DisturbStore(_Fault, frozen=True, tag=True):
    """The store does not serve some hosts, or none of them."""

    hosts: tuple[HostNumber, ...]
    way: StoreWay
    for_s: Seconds


class LoseWrites(_Fault, frozen=True, tag=True):
    """Answers to writes get lost, and the writes are done later."""

    for_s: Seconds
    delay_s: Seconds


class DiscardHistory(_Fault, frozen=True, tag=True):
    """The store forgets its changes."""


class RestoreStore(_Fault, frozen=True, tag=True):
    """The store is away for a time and comes back from an older copy."""

    #: Time between the copy and the outage, in seconds.
    copy_age_s: Seconds
    away_s: Seconds


class OddEntry(_Fault, frozen=True, tag=True):
    """Another writer leaves entries among the targets for a time."""

    entry: OddKind
    for_s: Seconds
    count: Annotated[int, msgspec.Meta(gt=0)] = 1


class OverwriteTarget(_Fault, frozen=True, tag=True):
    """Another writer overwrites the entry of a target once."""

    target: TargetNumber
    entry: OddKind


class CrashTarget(_Fault, frozen=True, tag=True):
    """A target ends without a word and starts again."""

    target: TargetNumber
    down_s: Seconds


class LeaveTarget(_Fault, frozen=True, tag=True):
    """A target leaves, announced or not, and another one starts."""

    target: TargetNumber
    announced: bool


class BreakAnswers(_Fault, frozen=True, tag=True):
    """A target breaks its answers in some way for a time."""

    target: TargetNumber
    way: BrokenWay
    for_s: Seconds


class LimitTarget(_Fault, frozen=True, tag=True):
    """A target names how many requests a second it takes, for a time."""

    target: TargetNumber
    per_s: Annotated[float, msgspec.Meta(gt=0)]
    for_s: Seconds


class TurnAway(_Fault, frozen=True, tag=True):
    """A target turns all requests away for a time, with Retry-After."""

    target: TargetNumber
    retry_after_s: Annotated[int, msgspec.Meta(gt=0)]
    for_s: Seconds


class SlowTarget(_Fault, frozen=True, tag=True):
    """A target pauses again and again for a time."""

    target: TargetNumber
    for_s: Seconds


class ChangeConfiguration(_Fault, frozen=True, tag=True):
    """A version moves a route and adds another one."""


class CloseDataCentre(_Fault, frozen=True, tag=True):
    """The operator evacuates a data centre for a time."""

    zone: ZoneName
    for_s: Seconds


class RollOut(_Fault, frozen=True, tag=True):
    """The operator moves the service of lookups to another version."""

    kind: RolloutKind = 'good'


Fault = (
    StopHost
    | KillHost
    | PauseHost
    | ReloadHost
    | DisturbStore
    | LoseWrites
    | DiscardHistory
    | RestoreStore
    | OddEntry
    | OverwriteTarget
    | CrashTarget
    | LeaveTarget
    | BreakAnswers
    | LimitTarget
    | TurnAway
    | SlowTarget
    | ChangeConfiguration
    | CloseDataCentre
    | RollOut
)


class Plan(msgspec.Struct, frozen=True):
    """What happens in one run."""

    seed: int
    #: Length of the traffic, in seconds.
    length_s: Annotated[float, msgspec.Meta(gt=0)]
    faults: tuple[Fault, ...]
    #: Bookings a second in each data centre, each on a new connection.
    bookings_per_s: Annotated[float, msgspec.Meta(gt=0)] = 15
    #: Commit of the build that each host runs until it is started again; empty
    #: for the build at hand.
    production: Annotated[str, msgspec.Meta(pattern='^[0-9a-f]*$')] = ''
    #: Whether the configuration has accounts, with keys and a limit.
    accounts: bool = False


def write_plan(plan: Plan, path: Path) -> None:
    """Write a plan as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan)))


def read_plan(path: Path) -> Plan:
    """Read a plan.

    Raises ``PlanError`` with the file, the reason and the position if it is
    malformed, or ``OSError`` if it can't be read.
    """
    content = path.read_bytes()
    try:
        return msgspec.json.decode(content, type=Plan)
    except msgspec.DecodeError as error:
        raise PlanError(f'{path}: {error}') from error
