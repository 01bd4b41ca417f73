"""Tests of unexpected errors in the task that runs the core."""

import asyncio
from collections.abc import Callable
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.core import (
    CallerRequest,
    CallTarget,
    ChangeUnknown,
    Effect,
    MayHaveRun,
    OperatorCommand,
    ProbeTarget,
    Reason,
    RemoveRoute,
    RevisionInForce,
    SendData,
    SendGossip,
    StoreMissing,
    StoreRead,
    StoreUnreachable,
    Target,
    TargetNotReached,
    TargetStatus,
)
from oriolestage.core._messages import CancelAttempts, RevisionQuery
from oriolestage.daemon._core_service import MAX_FAILED_BATCHES
from oriolestage.daemon._events import (
    CallerDisconnected,
    CallerRequestArrived,
    DataArrived,
    DataNotSent,
    Event,
    GossipArrived,
    OperatorCommandArrived,
    PeerLost,
    RevisionPollRequested,
    StopRequested,
    StoreCallEnded,
    TargetCallEnded,
    TargetProbed,
)
from oriolestage.daemon.tests.core_services import (
    TIMEOUT_S,
    answer_of,
    running_core,
)

GOSSIP = RevisionQuery('entry-2', 1)
MESSAGE = CancelAttempts('entry-2', (1,))
TARGET = Target('t', 's', 'ege-a', '127.0.0.1:1', 1, 1)
REQUEST = CallerRequest('request-1', 'caller', 'search', b'{}', 1000, '')
COMMAND = OperatorCommand(RemoveRoute('search'), 'tests', 'command-1', 1)


def _events() -> list[tuple[str, Event]]:
    """Return an event without an answer for each method of the core."""
    status = TargetStatus('', leaving=False, cold=False, versions=())
    return [
        ('on_gossip', GossipArrived(GOSSIP)),
        ('on_data', DataArrived(MESSAGE)),
        ('on_data_not_sent', DataNotSent('entry-2', MESSAGE)),
        ('on_peer_lost', PeerLost('entry-2')),
        ('on_target_result', TargetCallEnded(1, TargetNotReached())),
        ('on_probe_result', TargetProbed('t', status)),
        ('on_store_outcome', StoreCallEnded(1, StoreMissing())),
        ('on_caller_gone', CallerDisconnected('request-1')),
        ('stop', StopRequested()),
    ]


class FailingEventTest(IsolatedAsyncioTestCase):
    """An error in the core ends the processing of one event only."""

    async def test_next_event_is_processed(self) -> None:
        """Guards against one message that ends the daemon."""
        for method, event in _events():
            with self.subTest(method):
                async with running_core() as running:
                    with mock.patch.object(
                        running.core, method, side_effect=KeyError(method)
                    ) as failing:
                        running.put(event)
                        await running.wait_until_processed()
                        self.assertEqual(failing.call_count, 1)
                    step = f'core.{type(event).__name__}'
                    self.assertEqual(running.failures.counts[step], 1)

    async def test_caller_and_operator_are_answered(self) -> None:
        """Guards against clients that wait until their own deadline.

        The work may have been started before the error.
        """
        cases: tuple[tuple[str, Callable, object], ...] = (
            (
                'on_caller_request',
                lambda answer: CallerRequestArrived(REQUEST, answer),
                MayHaveRun(Reason.INTERNAL_ERROR, 'entry.core', 'entry-1'),
            ),
            (
                'on_operator_command',
                lambda answer: OperatorCommandArrived(COMMAND, answer),
                ChangeUnknown('command-1', "internal error: KeyError('core')"),
            ),
        )
        for method, build_event, expected in cases:
            with self.subTest(method):
                async with running_core() as running:
                    with mock.patch.object(
                        running.core, method, side_effect=KeyError('core')
                    ):
                        answer = await answer_of(running.inbox, build_event)
                    self.assertEqual(answer, expected)

    async def test_poll_ends_with_the_error(self) -> None:
        """A poll of the revision in force fails at once."""
        async with running_core() as running:
            with mock.patch.object(
                running.core, 'poll_revision', side_effect=KeyError('core')
            ):
                with self.assertRaises(KeyError):
                    await answer_of(
                        running.inbox,
                        lambda answer: RevisionPollRequested(1, 5, answer),
                    )

    async def test_client_that_is_gone(self) -> None:
        """An answer that nobody waits for any more is dropped."""
        async with running_core() as running:
            loop = asyncio.get_running_loop()
            futures = [loop.create_future() for _ in range(3)]
            for future in futures:
                future.cancel()
            running.put(
                CallerRequestArrived(REQUEST, futures[0]),
                OperatorCommandArrived(COMMAND, futures[1]),
                RevisionPollRequested(0, 0, futures[2]),
            )
            await running.wait_until_processed()
            self.assertEqual(running.failures.counts.total(), 0)


class FailingTimerTest(IsolatedAsyncioTestCase):
    """An error of a timer does not keep others from running."""

    async def test_other_timers_run(self) -> None:
        """Guards against one timer that ends the daemon."""
        async with running_core() as running:
            timers = running.core._parts.timers
            ran = asyncio.Event()
            failing = mock.Mock(side_effect=KeyError('timer'))
            timers.call_after(0.01, failing)
            timers.call_after(0.02, ran.set)
            running.put(GossipArrived(GOSSIP))
            async with asyncio.timeout(TIMEOUT_S):
                await ran.wait()
            self.assertEqual(failing.call_count, 1)
            self.assertEqual(running.failures.counts['core.timers'], 1)

    async def test_endless_errors_stop_the_daemon(self) -> None:
        """Guards against a host that does nothing but fail."""
        async with running_core() as running:
            error = KeyError('timers')
            with mock.patch.object(
                running.core, 'on_time', side_effect=error
            ) as failing:
                running.put(GossipArrived(GOSSIP))
                async with asyncio.timeout(TIMEOUT_S):
                    failure = await running.service.wait_for_failure()
                self.assertIs(failure, error)
                self.assertEqual(failing.call_count, MAX_FAILED_BATCHES)

    async def test_local_message(self) -> None:
        """Effects are executed although a message of this host fails."""
        async with running_core() as running:
            core = running.core
            core._parts.peers.send('entry-1', MESSAGE)
            core._parts.outbox.add(SendGossip('127.0.0.1:9', GOSSIP))
            with mock.patch.object(
                core._parts.owner, 'on_cancel', side_effect=KeyError('local')
            ) as failing:
                await running.wait_until_processed()
                await running.wait_until_processed()
                self.assertEqual(failing.call_count, 1)
            sent = running.gossip.send.call_args_list
            self.assertIn(mock.call('127.0.0.1:9', GOSSIP), sent)
            self.assertEqual(running.failures.counts['core.take_effects'], 1)


class FailingEffectTest(IsolatedAsyncioTestCase):
    """An effect that fails is reported to the core; others are executed."""

    async def test_effects(self) -> None:
        """Guards against calls that never end, and a daemon that does."""
        call = CallTarget(7, TARGET, 'r', 'search', b'', 0, 1, 1)
        cases: tuple[tuple[str, Effect, str, tuple], ...] = (
            (
                'links.send',
                SendData('entry-2', '127.0.0.1:9', MESSAGE),
                'on_data_not_sent',
                ('entry-2', MESSAGE),
            ),
            ('targets.call', call, 'on_target_result', (7, TargetNotReached())),
            (
                'store.call',
                StoreRead(8, 'key'),
                'on_store_outcome',
                (8, StoreUnreachable(sent=True)),
            ),
            ('gossip.send', SendGossip('127.0.0.1:9', GOSSIP), '', ()),
            ('targets.probe', ProbeTarget(TARGET), '', ()),
        )
        for client, effect, method, arguments in cases:
            with self.subTest(client):
                async with running_core() as running:
                    await self._run_failing(
                        running, client, effect, method, arguments
                    )

    async def _run_failing(
        self, running, client, effect, method, arguments
    ) -> None:
        name, client_method = client.split('.')
        failing = getattr(getattr(running, name), client_method)
        failing.side_effect = KeyError(client)
        outbox = running.core._parts.outbox
        outbox.add(effect)
        outbox.add(RevisionInForce(77, None))
        reported = mock.Mock()
        if method:
            reported = mock.patch.object(running.core, method).start()
            self.addCleanup(mock.patch.stopall)
        with mock.patch(
            'oriolestage.daemon._effect_executor.log_event'
        ) as log_event:
            await running.wait_until_processed()
            await running.wait_until_processed()
            await running.wait_until_processed()
        logged = [entry.args[0] for entry in log_event.call_args_list]
        self.assertIn('revision_in_force', logged)
        if method:
            self.assertEqual(reported.call_args.args[1:], arguments)
        step = f'effect.{type(effect).__name__}'
        self.assertGreaterEqual(running.failures.counts[step], 1)
