"""What the decision core asks its embedder to do.

The core collects effects in an :class:`Outbox`; the embedder takes them and
carries them out in order. Results come back as calls on the core.
"""

import dataclasses
from collections.abc import Mapping

from oriolestage.core._messages import DataMessage, GossipMessage
from oriolestage.core.configuration._changes import RevisionRecord
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.queries._outcomes import CallerOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message; it may be lost."""

    address: str
    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SendData:
    """Send a data message; a loss must be reported as ``on_peer_lost``."""

    peer: str
    address: str
    message: DataMessage


@dataclasses.dataclass(frozen=True, slots=True)
class CallTarget:
    """Send one shard request to a target."""

    call: int
    target: Target
    request_id: str
    route: str
    body: bytes
    #: Index version to read, or 0 for the newest.
    version: int
    #: Time after which the target itself gives the request up.
    timeout_ms: int
    #: Time after which the call ends without an answer; longer, so that a
    #: slot counts as taken until the target has surely left it.
    call_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTargetCall:
    """Give up a shard request and tell the target so."""

    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Read the status page of a target that gets no work."""

    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Give a caller its final answer."""

    request_id: str
    outcome: CallerOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """Read a key of the store."""

    operation: int
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWrite:
    """Write a key of the store if its version is still ``expected``."""

    operation: int
    key: str
    #: Version to replace; 0 means that the key must not exist.
    expected: int
    content: bytes
    #: Seconds after which the store drops the key; 0 keeps it.
    ttl_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWatch:
    """Wait until a key's version exceeds ``after``, or a time-out."""

    operation: int
    key: str
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHostList:
    """Read the platform's list of hosts."""

    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionInForce:
    """A revision of the configuration is now in force at this host."""

    revision: int
    record: RevisionRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Write one line of key=value pairs to the log."""

    event: str
    fields: Mapping[str, str | int | float]


Effect = (
    SendGossip
    | SendData
    | CallTarget
    | CancelTargetCall
    | ProbeTarget
    | AnswerCaller
    | StoreRead
    | StoreWrite
    | StoreWatch
    | ReadHostList
    | RevisionInForce
    | LogEvent
)


class Outbox:
    """Collects effects until the embedder takes them."""

    def __init__(self) -> None:
        """Start empty."""
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Append one effect."""
        self._effects.append(effect)

    def log(self, event: str, **fields: str | float) -> None:
        """Append a log line."""
        self._effects.append(LogEvent(event, fields))

    def take(self) -> list[Effect]:
        """Give all effects collected so far and start anew."""
        effects = self._effects
        self._effects = []
        return effects
