"""Effects: the I/O that the decision core asks its embedder to perform.

The core collects effects in an :class:`Outbox`. The embedder performs them in
order and reports results by calling the ``on_...`` methods of the core.
"""

import dataclasses
import traceback
from collections.abc import Callable, Mapping
from typing import ParamSpec

from oriolestage.core._decoding import MAX_ERROR_CHARACTERS
from oriolestage.core._messages import DataMessage, GossipMessage
from oriolestage.core.configuration._changes import RevisionRecord
from oriolestage.core.configuration._configuration import Target
from oriolestage.core.queries._outcomes import CallerOutcome

_Arguments = ParamSpec('_Arguments')


@dataclasses.dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message; delivery is not guaranteed."""

    address: str
    message: GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SendData:
    """Send a data message over the stream to a peer.

    A broken stream must be reported with ``on_peer_lost``, and a message that
    was never sent with ``on_data_not_sent``.
    """

    peer: str
    address: str
    message: DataMessage


@dataclasses.dataclass(frozen=True, slots=True)
class CallTarget:
    """Send one shard request to a target; answer with ``on_target_result``."""

    #: Number of the call, which its result repeats.
    call: int
    target: Target
    request_id: str
    route: str
    body: bytes
    #: Index version to read, or 0 for the newest.
    version: int
    #: Time after which the target itself abandons the request.
    timeout_ms: int
    #: Time after which the owner ends the call. It is longer than
    #: ``timeout_ms``, so that a slot counts as busy until the target has
    #: surely freed it.
    call_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTargetCall:
    """Cancel a shard request, also at the target."""

    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Read the status page of a target that is leaving."""

    target: Target


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Send a caller its final answer."""

    request_id: str
    outcome: CallerOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """Read a key from the store."""

    operation: int
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWrite:
    """Write a key to the store if its version is still ``expected``."""

    operation: int
    key: str
    #: Version to be replaced; 0 means that the key must not exist.
    expected: int
    content: bytes
    #: Seconds after which the store drops the key; 0 keeps it.
    ttl_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWatch:
    """Watch a key until its version exceeds ``after``, or a timeout."""

    operation: int
    key: str
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHostList:
    """Read the platform's list of entry hosts and targets."""

    operation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionInForce:
    """Report that this host now uses a revision of the configuration."""

    revision: int
    #: The change that led to the revision; None if a document was loaded.
    record: RevisionRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event with its fields to the log."""

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
    """A queue of effects that the embedder empties after each call."""

    def __init__(self) -> None:
        """Start empty."""
        self._effects: list[Effect] = []
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of unexpected errors logged since the start."""
        return self._failures

    def add(self, effect: Effect) -> None:
        """Append one effect."""
        self._effects.append(effect)

    def log(self, event: str, **fields: str | float) -> None:
        """Append a log event."""
        self._effects.append(LogEvent(event, fields))

    def log_failure(self, step: str, error: Exception) -> None:
        """Log and count an unexpected error that ended one step."""
        self._failures += 1
        self.log(
            'internal_error',
            step=step,
            error=repr(error)[:MAX_ERROR_CHARACTERS],
            at=_innermost_location(error),
        )

    def run_safely(
        self,
        step: str,
        function: Callable[_Arguments, None],
        *arguments: _Arguments.args,
        **options: _Arguments.kwargs,
    ) -> bool:
        """Call a function for one of many items; return whether it succeeded.

        An unexpected error is logged and counted, so that it does not keep
        the other items from being handled.
        """
        try:
            function(*arguments, **options)
        except Exception as error:
            self.log_failure(step, error)
            return False
        return True

    def take(self) -> list[Effect]:
        """Return all queued effects, oldest first, and empty the queue."""
        effects = self._effects
        self._effects = []
        return effects


def _innermost_location(error: Exception) -> str:
    """Return the file and line at which an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return 'unknown'
    return f'{frames[-1].filename}:{frames[-1].lineno}'
