"""Events that the tasks of the daemon send to the core task."""

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
    """A gossip message of another host arrived."""

    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class DataArrived:
    """A data message of another host arrived."""

    message: DataMessage


@dataclasses.dataclass(frozen=True, slots=True)
class DataNotSent:
    """A data message was not written; the peer cannot have received it."""

    peer: str
    message: DataMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """The data stream to a peer was lost after it had been connected."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCallEnded:
    """A shard request to a target ended."""

    #: Number that the core gave the call.
    call: int
    outcome: TargetResult


@dataclasses.dataclass(frozen=True, slots=True)
class TargetProbed:
    """A probe read the status page of a target."""

    target: str
    target_status: TargetStatus


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallEnded:
    """A call to the store or the host list ended."""

    #: Number that the core gave the call.
    operation: int
    outcome: StoreOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequestArrived:
    """A caller's request arrived; ``answer`` gets its outcome."""

    request: CallerRequest
    answer: asyncio.Future[CallerOutcome]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller closed its connection before its request was answered."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorCommandArrived:
    """An operator's change arrived; ``answer`` gets its outcome."""

    command: OperatorCommand
    answer: asyncio.Future[ChangeOutcome]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionPollRequested:
    """An operator asks on which hosts a revision is in force.

    The answer comes once it is in force everywhere, or after ``wait_s``.
    """

    revision: int
    wait_s: float
    answer: asyncio.Future[InForceReport]


@dataclasses.dataclass(frozen=True, slots=True)
class ViewRequested:
    """A task wants to read the core, after the events queued before.

    The reader must not await anything while it reads the core.
    """

    answer: asyncio.Future[NodeCore]


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The daemon was told to stop; begin to drain."""


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
