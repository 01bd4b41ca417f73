"""Tests of the time measurements of the run driver."""

import asyncio
import socket
import time
import unittest
from collections.abc import AsyncGenerator

import uvloop

from oriolestage.entry._run_driver import STARTED_AT_ONCE, RunDriver
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptOutcome,
    Gathered,
)
from oriolestage.routing._run_types import (
    BatchLost,
    BatchOutcome,
    SendAttempt,
    SendBatch,
)
from oriolestage.routing.tests.builders import (
    make_answer,
    make_group,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import make_run

#: Time for which the event loop is blocked, in seconds.
BLOCK_S = 0.05
#: Time that a slow host takes to send an attempt, and the work of a target, in
#: seconds.
SEND_S = 0.001
WORK_S = 0.01
SHARDS = 90
#: Time after which an attempt of a new route is late, in seconds.
LATE_S = 0.1


async def _answer_and_block(_: SendAttempt) -> AttemptOutcome:
    """Answer an attempt and block the event loop right afterwards."""
    asyncio.get_running_loop().call_soon(time.sleep, BLOCK_S)
    return AttemptAnswered(make_answer())


async def _lose_batch(_: SendBatch) -> AsyncGenerator[BatchOutcome, None]:
    yield BatchLost('test', not_sent=True)


class SlowSender:
    """Takes time to send an attempt; targets answer soon afterwards."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        """Start without events."""
        self._loop = loop
        #: Events in order: ``sent`` and ``answered``.
        self.events: list[str] = []

    async def send(self, _: SendAttempt) -> AttemptOutcome:
        """Send an attempt and return its answer."""
        self.events.append('sent')
        self._loop.stay_busy(SEND_S)
        await asyncio.sleep(WORK_S)
        self.events.append('answered')
        return AttemptAnswered(make_answer())


async def _drive_slow_query(sender: SlowSender) -> object:
    """Run a query on a host that is slow to send; return its hedges."""
    records = tuple(
        make_record(f't-{shard}-{copy}', f'shard-{shard}')
        for shard in range(SHARDS)
        for copy in range(2)
    )
    rule = make_rule(make_group(SHARDS), objective_s=1)
    run = make_run(rule, records, time.monotonic())
    await RunDriver(run, sender.send, _lose_batch).drive()
    return run.summary()['hedges']


class SendingTest(unittest.TestCase):
    """A slow host reads answers while it still sends attempts."""

    def test_answers_are_read_between_sends(self) -> None:
        """Guards against hedges for targets that have long answered.

        Their answers used to wait until all attempts were sent.
        """
        loop = VirtualTimeLoop()
        sender = SlowSender(loop)
        hedges = run_in_virtual_time(loop, _drive_slow_query(sender))
        latest_first = list(reversed(sender.events))
        last_sent = len(sender.events) - latest_first.index('sent')
        self.assertLess(sender.events.index('answered'), last_sent / 2)
        self.assertEqual(hedges, 0)


class LastTargetSilent:
    """Answers all attempts but the one to the last shard at once."""

    def __init__(self, shards: int) -> None:
        """Start without attempts."""
        self._shards = shards
        self._sent = 0

    async def send(self, _: SendAttempt) -> AttemptOutcome:
        """Answer an attempt, except the last of the first ones."""
        self._sent += 1
        if self._sent == self._shards:
            await asyncio.Event().wait()
        return AttemptAnswered(make_answer(signature=str(self._sent)))


class LastAttemptTest(unittest.IsolatedAsyncioTestCase):
    """The attempts that are sent last are hedged like the others."""

    async def test_silent_target(self) -> None:
        """Guards against no timer for attempts that are sent after it is set.

        All other targets have answered before the last attempt is sent, so
        no event follows that would set the timer.
        """
        shards = STARTED_AT_ONCE + 1
        records = tuple(
            make_record(f't-{shard}-{copy}', f'shard-{shard}')
            for shard in range(shards)
            for copy in range(2)
        )
        rule = make_rule(make_group(shards, 1), objective_s=1)
        run = make_run(rule, records, time.monotonic())
        driver = RunDriver(run, LastTargetSilent(shards).send, _lose_batch)
        result = await driver.drive()
        driver.cancel_all()
        self.assertIsInstance(result, Gathered)
        self.assertNotEqual(run.summary()['hedges'], 0)


class LateTimerTest(unittest.TestCase):
    """Answers that have arrived are read before an attempt counts as late."""

    def test_busy_event_loop(self) -> None:
        """Guards against a hedge for an answer that waits to be read."""
        hedges = uvloop.run(_answer_while_busy())
        self.assertEqual(hedges, 0)


def _block_and_answer(connection: socket.socket) -> None:
    time.sleep(LATE_S)
    connection.send(b'answer')


async def _answer_while_busy() -> object:
    """Answer an attempt while the event loop is busy; return the hedges."""
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)

    async def read_answer(_: SendAttempt) -> AttemptOutcome:
        # The loop is busy until after the attempt would be late.
        loop.call_soon(_block_and_answer, theirs)
        await loop.sock_recv(ours, len(b'answer'))
        return AttemptAnswered(make_answer())

    records = (make_record('t-1'), make_record('t-2'))
    run = make_run(make_rule(), records, time.monotonic())
    with ours, theirs:
        await RunDriver(run, read_answer, _lose_batch).drive()
    return run.summary()['hedges']


class RunTimingsTest(unittest.IsolatedAsyncioTestCase):
    """The time that a host adds to a request is measured."""

    async def test_blocked_event_loop(self) -> None:
        """A busy event loop shows as the delay of an event."""
        run = make_run(make_rule(), (make_record(),), time.monotonic())
        driver = RunDriver(run, _answer_and_block, _lose_batch)
        await driver.drive()
        self.assertGreater(driver.timings.event_delay_s, BLOCK_S / 2)
        self.assertGreater(driver.timings.decision_s, 0)
