"""What the tasks of the daemon tell the core task."""

import asyncio
import dataclasses

from oriolestage.core import (
    CallerOutcome,
    CallerRequest,
    ChangeOutcome,
    DataMessage,
    GossipMessage,
    InForceReport,
    NodeCore,
    OperatorCommand,
    StoreOutcome,
    TargetResult,
    TargetStatus,
)


@dataclasses.dataclass(frozen=True, slots=True)
class GossipArrived:
    """A gossip message came in."""

    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class DataArrived:
    """A data message came in."""

    message: DataMessage


@dataclasses.dataclass(frozen=True, slots=True)
class DataNotSent:
    """A data message certainly did not reach its peer."""

    peer: str
    message: DataMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """The data stream to a peer broke."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCallEnded:
    """A call to a target ended."""

    call: int
    outcome: TargetResult


@dataclasses.dataclass(frozen=True, slots=True)
class TargetProbed:
    """A target's status page was read."""

    target: str
    target_status: TargetStatus


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallEnded:
    """A call to the store ended."""

    operation: int
    outcome: StoreOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequestArrived:
    """A caller's request came in; its answer goes into the future."""

    request: CallerRequest
    answer: asyncio.Future[CallerOutcome]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller closed its connection before the answer."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorCommandArrived:
    """An operator's change came in."""

    command: OperatorCommand
    answer: asyncio.Future[ChangeOutcome]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionPollRequested:
    """An operator wants to know where a revision is in force."""

    revision: int
    wait_s: float
    answer: asyncio.Future[InForceReport]


@dataclasses.dataclass(frozen=True, slots=True)
class ViewRequested:
    """Someone wants to look at the core; the view goes into the future."""

    answer: asyncio.Future[NodeCore]


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """A planned stop begins."""


Event = (
    GossipArrived
    | DataArrived
    | DataNotSent
    | PeerLost
    | TargetCallEnded
    | TargetProbed
    | StoreCallEnded
    | CallerRequestArrived
    | CallerDisconnected
    | OperatorCommandArrived
    | RevisionPollRequested
    | ViewRequested
    | StopRequested
)
Inbox = asyncio.Queue[Event]
