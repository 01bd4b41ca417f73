"""Tests of the time measurements of the run driver."""

import asyncio
import time
import unittest
from collections.abc import AsyncGenerator

from oriolestage.entry._run_driver import RunDriver
from oriolestage.routing._answers import AttemptAnswered, AttemptOutcome
from oriolestage.routing._run_types import (
    BatchLost,
    BatchOutcome,
    SendAttempt,
    SendBatch,
)
from oriolestage.routing.tests.builders import (
    make_answer,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import make_run

#: Time for which the event loop is blocked, in seconds.
BLOCK_S = 0.05


async def _answer_and_block(_: SendAttempt) -> AttemptOutcome:
    """Answer an attempt and block the event loop right afterwards."""
    asyncio.get_running_loop().call_soon(time.sleep, BLOCK_S)
    return AttemptAnswered(make_answer())


async def _lose_batch(_: SendBatch) -> AsyncGenerator[BatchOutcome, None]:
    yield BatchLost('test', not_sent=True)


class RunTimingsTest(unittest.IsolatedAsyncioTestCase):
    """The time that a host adds to a request is measured."""

    async def test_blocked_event_loop(self) -> None:
        """A busy event loop shows as the delay of an event."""
        run = make_run(make_rule(), (make_record(),), time.monotonic())
        driver = RunDriver(run, _answer_and_block, _lose_batch)
        await driver.drive()
        self.assertGreater(driver.timings.event_delay_s, BLOCK_S / 2)
        self.assertGreater(driver.timings.decision_s, 0)
