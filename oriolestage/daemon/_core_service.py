"""The task that runs the decision core.

No other task calls methods of the core that change its state; they put events
into an inbox instead.
"""

import asyncio
import contextlib
import functools
from typing import TypeVar

from aiomisc import Service

from oriolestage.core import (
    CallerOutcome,
    ChangeUnknown,
    MayHaveRun,
    NodeCore,
    Reason,
)
from oriolestage.daemon._data_links import DataLinks
from oriolestage.daemon._effect_executor import EffectExecutor
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
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._gossip import GossipSender
from oriolestage.daemon._store_client import StoreClient
from oriolestage.daemon._target_client import TargetClient

#: Events handled before the effects of all of them are executed.
MAX_EVENTS_PER_BATCH = 256
#: Failed batches in a row after which the daemon stops.
MAX_FAILED_BATCHES = 100
#: Pause after a failed batch, in seconds.
FAILED_BATCH_PAUSE_S = 0.01
#: Times that the effects are taken again after a message of this host to
#: itself failed; the failed message is not handled again.
MAX_LOCAL_FAILURES = 100

_Answer = TypeVar('_Answer')


class CoreService(Service):
    """Passes events to the core and executes the effects it returns.

    An unexpected error of the core ends the processing of one event, timer or
    effect. It is logged and counted, and the client that waits for an answer
    gets one. The daemon stops if the timers or the effects fail in each batch,
    since its view of other hosts is then out of date.
    """

    def __init__(
        self,
        core: NodeCore,
        inbox: Inbox,
        gossip: GossipSender,
        links: DataLinks,
        targets: TargetClient,
        store: StoreClient,
        failures: FailureLog,
    ) -> None:
        """Create the service from the core and the clients that do its I/O."""
        super().__init__()
        self._core = core
        self._inbox = inbox
        self._failures = failures
        self._failed_batches = 0
        self._pending_answers: dict[str, asyncio.Future[CallerOutcome]] = {}
        self._failure: asyncio.Future[BaseException] | None = None
        self._executor = EffectExecutor(
            inbox, gossip, links, targets, store, failures, self._answer_caller
        )

    async def start(self) -> None:
        """Start the core and process events until the service is stopped."""
        self._failure = asyncio.get_running_loop().create_future()
        self._core.start()
        self._executor.execute_all(self._core.take_effects())
        self.start_event.set()
        while True:
            try:
                await self._process_batch()
            except Exception as error:
                self._failures.record_unexpected('core', error)
                self._failure.set_result(error)
                raise

    async def wait_for_failure(self) -> BaseException:
        """Wait until the core raises an exception and return it."""
        assert self._failure is not None
        return await self._failure

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the connections of all clients."""
        await self._executor.close()

    async def _process_batch(self) -> None:
        now = asyncio.get_running_loop().time
        wait_s = max(0, self._core.next_wakeup - now())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                self._handle_safely(await self._inbox.get())
        for _ in range(MAX_EVENTS_PER_BATCH):
            if self._inbox.empty():
                break
            self._handle_safely(self._inbox.get_nowait())
        error = self._run_timers(now()) or self._execute_effects()
        await self._check_health(error)

    def _run_timers(self, now: float) -> Exception | None:
        """Run the timers that are due; one that fails is not run again."""
        try:
            self._core.on_time(now)
        except Exception as error:
            self._failures.record_unexpected('core.timers', error)
            self._execute_effects()
            return error
        return None

    def _execute_effects(self) -> Exception | None:
        """Execute the effects, also if messages of this host to itself fail.

        Returns the last error if no effects could be taken.
        """
        failure: Exception | None = None
        for _ in range(MAX_LOCAL_FAILURES):
            try:
                effects = self._core.take_effects()
            except Exception as error:
                self._failures.record_unexpected('core.take_effects', error)
                failure = error
                continue
            self._executor.execute_all(effects)
            return None
        return failure

    async def _check_health(self, error: Exception | None) -> None:
        """Raise the error of a batch if `MAX_FAILED_BATCHES` in a row failed.

        Otherwise pause after it, so that an endless error does not use the
        whole processor.
        """
        if error is None:
            self._failed_batches = 0
            return
        self._failed_batches += 1
        if self._failed_batches >= MAX_FAILED_BATCHES:
            raise error
        await asyncio.sleep(FAILED_BATCH_PAUSE_S)

    def _handle_safely(self, event: Event) -> None:
        try:
            self._handle(event)
        except Exception as error:
            step = f'core.{type(event).__name__}'
            self._failures.record_unexpected(step, error)
            self._answer_failed(event, error)

    def _answer_failed(self, event: Event, error: Exception) -> None:
        """Answer the client whose event could not be processed."""
        match event:
            case CallerRequestArrived(request=request):
                host = self._core.membership.identity.name
                self._answer_caller(
                    request.request_id,
                    MayHaveRun(Reason.INTERNAL_ERROR, 'entry.core', host),
                )
                self._inbox.put_nowait(CallerDisconnected(request.request_id))
            case OperatorCommandArrived(command=command, answer=answer):
                why = f'internal error: {error!r}'
                _set_answer(answer, ChangeUnknown(command.command_id, why))
            case RevisionPollRequested(answer=report) if not report.done():
                report.set_exception(error)

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
                core.on_operator_command(
                    now, command, functools.partial(_set_answer, outcome)
                )
            case RevisionPollRequested(
                revision=revision, wait_s=wait_s, answer=report
            ):
                core.poll_revision(
                    now,
                    revision,
                    wait_s,
                    functools.partial(_set_answer, report),
                )
            case ViewRequested(answer=view):
                _set_answer(view, core)
            case StopRequested():
                core.stop(now)

    def _answer_caller(self, request_id: str, outcome: CallerOutcome) -> None:
        answer = self._pending_answers.pop(request_id, None)
        if answer is not None:
            _set_answer(answer, outcome)


def _set_answer(answer: asyncio.Future[_Answer], content: _Answer) -> None:
    """Answer a client, unless it is gone."""
    if not answer.done():
        answer.set_result(content)
