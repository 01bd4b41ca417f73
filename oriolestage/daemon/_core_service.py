"""The task that runs the decision core.

No other task calls methods of the core that change its state; they put events
into an inbox instead.
"""

import asyncio
import contextlib
from collections.abc import Sequence

from absl import logging
from aiomisc import Service

from oriolestage._logging import log_event
from oriolestage.core import (
    AnswerCaller,
    CallerOutcome,
    CallTarget,
    CancelTargetCall,
    Effect,
    LogEvent,
    NodeCore,
    ProbeTarget,
    ReadHostList,
    RevisionInForce,
    SendData,
    SendGossip,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from oriolestage.daemon._data_links import DataLinks
from oriolestage.daemon._events import (
    CallerDisconnected,
    CallerRequestArrived,
    DataArrived,
    DataNotSent,
    Event,
    GossipArrived,
    Inbox,
    OperatorCommandArrived,
    PeerLost,
    RevisionPollRequested,
    StopRequested,
    StoreCallEnded,
    TargetCallEnded,
    TargetProbed,
    ViewRequested,
)
from oriolestage.daemon._gossip import GossipSender
from oriolestage.daemon._store_client import StoreClient
from oriolestage.daemon._target_client import TargetClient

#: Events handled before the effects of all of them are executed.
MAX_EVENTS_PER_BATCH = 256


class CoreService(Service):
    """Passes events to the core and executes the effects it returns."""

    def __init__(
        self,
        core: NodeCore,
        inbox: Inbox,
        gossip: GossipSender,
        links: DataLinks,
        targets: TargetClient,
        store: StoreClient,
    ) -> None:
        """Create the service from the core and the clients that do its I/O."""
        super().__init__()
        self._core = core
        self._inbox = inbox
        self._gossip = gossip
        self._links = links
        self._targets = targets
        self._store = store
        self._pending_answers: dict[str, asyncio.Future[CallerOutcome]] = {}
        self._failure: asyncio.Future[BaseException] | None = None

    async def start(self) -> None:
        """Start the core and process events until the service is stopped."""
        self._core.start()
        self._execute_all(self._core.take_effects())
        self._failure = asyncio.get_running_loop().create_future()
        self.start_event.set()
        while True:
            try:
                await self._process_batch()
            except Exception as error:
                logging.exception('event=core_failed step=core')
                self._failure.set_result(error)
                raise

    async def wait_for_failure(self) -> BaseException:
        """Wait until the core raises an exception and return it."""
        assert self._failure is not None
        return await self._failure

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the connections of all clients."""
        await self._targets.close()
        await self._store.close()
        self._links.close()
        self._gossip.close()

    async def _process_batch(self) -> None:
        now = asyncio.get_running_loop().time
        wait_s = max(0, self._core.next_wakeup - now())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                self._handle(await self._inbox.get())
        for _ in range(MAX_EVENTS_PER_BATCH):
            if self._inbox.empty():
                break
            self._handle(self._inbox.get_nowait())
        self._core.on_time(now())
        self._execute_all(self._core.take_effects())

    def _handle(self, event: Event) -> None:
        now = asyncio.get_running_loop().time()
        core = self._core
        match event:
            case GossipArrived(message=message):
                core.on_gossip(now, message)
            case DataArrived(message=data):
                core.on_data(now, data)
            case DataNotSent(peer=peer, message=data):
                core.on_data_not_sent(now, peer, data)
            case PeerLost(peer=peer):
                core.on_peer_lost(now, peer)
            case TargetCallEnded(call=call, outcome=ended):
                core.on_target_result(now, call, ended)
            case TargetProbed(target=target, target_status=target_status):
                core.on_probe_result(now, target, target_status)
            case StoreCallEnded(operation=operation, outcome=stored):
                core.on_store_outcome(now, operation, stored)
            case CallerRequestArrived(request=request, answer=answer):
                self._pending_answers[request.request_id] = answer
                core.on_caller_request(now, request)
            case CallerDisconnected(request_id=request_id):
                self._pending_answers.pop(request_id, None)
                core.on_caller_gone(now, request_id)
            case OperatorCommandArrived(command=command, answer=outcome):
                core.on_operator_command(now, command, outcome.set_result)
            case RevisionPollRequested(
                revision=revision, wait_s=wait_s, answer=report
            ):
                core.poll_revision(now, revision, wait_s, report.set_result)
            case ViewRequested(answer=view):
                view.set_result(core)
            case StopRequested():
                core.stop(now)

    def _execute_all(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            self._execute(effect)

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

    def _answer_caller(self, request_id: str, outcome: CallerOutcome) -> None:
        answer = self._pending_answers.pop(request_id, None)
        if answer is not None and not answer.done():
            answer.set_result(outcome)

    def _log_revision(self, revision: int, record: object) -> None:
        fields: dict[str, object] = {'step': 'configuration'}
        fields['revision'] = revision
        for name in ('operator', 'command_id', 'before', 'after'):
            if record is not None:
                fields[name] = getattr(record, name)
        log_event('revision_in_force', fields)
