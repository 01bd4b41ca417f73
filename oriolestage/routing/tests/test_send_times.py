"""Tests of queries whose host takes time to send their attempts."""

import heapq
import unittest

from oriolestage.routing._answers import AttemptAnswered
from oriolestage.routing.tests.builders import (
    make_answer,
    make_group,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import attempts_in, make_run

SHARDS = 90
#: Time that the host takes to send one attempt, in seconds.
SEND_S = 0.0005
#: Work of every target, in seconds.
WORK_S = 0.01


class SendTimeTest(unittest.TestCase):
    """Delays of a target are counted from when its attempt was sent."""

    def test_last_attempts_are_not_late(self) -> None:
        """Guards against hedges for the attempts that were sent last.

        They answer after the first ones only because they were sent after
        them; hedging them spends the retry budget and more processor time.
        """
        records = tuple(
            make_record(f't-{shard}-{copy}', f'shard-{shard}', f'dc-{copy}')
            for shard in range(SHARDS)
            for copy in 'ab'
        )
        run = make_run(make_rule(make_group(SHARDS)), records, 0)
        events: list[tuple[float, int]] = []
        for order, sent in enumerate(attempts_in(run.start(0)), start=1):
            sent_at = order * SEND_S
            run.record_sent(sent.attempt, sent_at)
            heapq.heappush(events, (sent_at + WORK_S, sent.attempt))
        while events:
            now, attempt = heapq.heappop(events)
            if run.wake_at < now:
                run.on_timer(run.wake_at)
            run.on_outcome(attempt, AttemptAnswered(make_answer()), now)
        self.assertEqual(run.summary()['hedges'], 0)
