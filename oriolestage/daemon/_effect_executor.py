"""Executes the effects of the core by means of the clients."""

from collections.abc import Callable, Sequence

from oriolestage._logging import log_event
from oriolestage.core import (
    AnswerCaller,
    CallerOutcome,
    CallTarget,
    CancelTargetCall,
    Effect,
    LogEvent,
    ProbeTarget,
    ReadHostList,
    RevisionInForce,
    SendData,
    SendGossip,
    StoreRead,
    StoreUnreachable,
    StoreWatch,
    StoreWrite,
    TargetNotReached,
)
from oriolestage.daemon._data_links import DataLinks
from oriolestage.daemon._events import (
    DataNotSent,
    Inbox,
    StoreCallEnded,
    TargetCallEnded,
)
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._gossip import GossipSender
from oriolestage.daemon._store_client import StoreClient
from oriolestage.daemon._target_client import TargetClient


class EffectExecutor:
    """Passes each effect to the client that performs it."""

    def __init__(
        self,
        inbox: Inbox,
        gossip: GossipSender,
        links: DataLinks,
        targets: TargetClient,
        store: StoreClient,
        failures: FailureLog,
        answer_caller: Callable[[str, CallerOutcome], None],
    ) -> None:
        """Create an executor; ``answer_caller`` gets a request identifier."""
        self._inbox = inbox
        self._gossip = gossip
        self._links = links
        self._targets = targets
        self._store = store
        self._failures = failures
        self._answer_caller = answer_caller

    async def close(self) -> None:
        """Close the connections of all clients."""
        await self._targets.close()
        await self._store.close()
        self._links.close()
        self._gossip.close()

    def execute_all(self, effects: Sequence[Effect]) -> None:
        """Execute effects in order; an error affects only its own effect."""
        for effect in effects:
            try:
                self._execute(effect)
            except Exception as error:
                step = f'effect.{type(effect).__name__}'
                self._failures.record_unexpected(step, error)
                self._report_failed(effect)

    def _report_failed(self, effect: Effect) -> None:
        """Tell the core that a call which it waits for was not made."""
        match effect:
            case SendData(peer=peer, message=message):
                self._inbox.put_nowait(DataNotSent(peer, message))
            case CallTarget(call=call):
                self._inbox.put_nowait(
                    TargetCallEnded(call, TargetNotReached())
                )
            case StoreRead() | StoreWrite() | StoreWatch() | ReadHostList():
                unreachable = StoreUnreachable(sent=True)
                self._inbox.put_nowait(
                    StoreCallEnded(effect.operation, unreachable)
                )

    def _execute(self, effect: Effect) -> None:
        match effect:
            case SendData(peer=peer, address=address, message=message):
                self._links.send(peer, address, message)
            case CallTarget():
                self._targets.call(effect)
            case CancelTargetCall(call=call):
                self._targets.cancel(call)
            case AnswerCaller(request_id=request_id, outcome=outcome):
                self._answer_caller(request_id, outcome)
            case SendGossip(address=address, message=gossip):
                self._gossip.send(address, gossip)
            case StoreRead() | StoreWrite() | StoreWatch() | ReadHostList():
                self._store.call(effect)
            case ProbeTarget(target=target):
                self._targets.probe(target)
            case RevisionInForce(revision=revision, record=record):
                self._log_revision(revision, record)
            case LogEvent(event=event, fields=fields):
                log_event(event, fields)

    def _log_revision(self, revision: int, record: object) -> None:
        fields: dict[str, object] = {'step': 'configuration'}
        fields['revision'] = revision
        for name in ('operator', 'command_id', 'before', 'after'):
            if record is not None:
                fields[name] = getattr(record, name)
        log_event('revision_in_force', fields)
