"""Tests of granting idempotency keys by their age."""

from unittest import TestCase, mock

from oriolestage.core import NotRun, Reason, make_key
from oriolestage.core._messages import ClaimReply, ClaimRequest
from oriolestage.core.tests.nodes import (
    WALL_CLOCK_START_MS,
    SimulatedNode,
    Timeline,
)
from scenarios.fake_store import FakeStore

#: Retention of a key and largest difference of clocks, in seconds.
RETENTION_S = 600
SKEW_S = 60
#: Outcome of a claim that is granted.
GRANTED = None


class KeyAgeTest(TestCase):
    """A key is granted only while its claim is surely remembered."""

    def test_ages(self) -> None:
        """Guards against a key that outlives its claim and runs twice.

        A key with a time in the future was valid for longer than the store
        keeps the segment with its claim.
        """
        cases = (
            ('new', 0, GRANTED),
            ('almost as old as the retention', RETENTION_S - 1, GRANTED),
            ('older', RETENTION_S + 1, Reason.KEY_EXPIRED),
            ('clock of the caller ahead', -SKEW_S, GRANTED),
            ('in the future', -SKEW_S - 1, Reason.KEY_EXPIRED),
            ('far in the future', -86_400, Reason.KEY_EXPIRED),
        )
        for name, age_s, expected in cases:
            with self.subTest(name):
                reply = _claim(age_s, stated_ms=0)
                self.assertIs(reply.granted, expected is GRANTED)
                if isinstance(reply.outcome, NotRun):
                    self.assertIs(reply.outcome.reason, expected)

    def test_time_is_that_of_the_key(self) -> None:
        """Guards against a claim that is forgotten before its key expires.

        The claim was stored with the time in the request.
        """
        timeline = Timeline()
        store = FakeStore(timeline.call_later)
        node = SimulatedNode.build(timeline, store)
        created_ms = WALL_CLOCK_START_MS + 2000
        _send_claim(node, timeline, make_key(created_ms, 1), stated_ms=0)
        timeline.run_for(1)
        journals = node.core._parts.keys._journals.values()
        claims = [journal._claims for journal in journals]
        self.assertEqual(len(claims), 1)
        claim = claims[0].get(make_key(created_ms, 1))
        assert claim is not None
        self.assertEqual(claim.created_ms, created_ms)


def _claim(age_s: float, stated_ms: int) -> ClaimReply:
    """Claim a key of an age at a new host; return the reply."""
    timeline = Timeline()
    store = FakeStore(timeline.call_later)
    node = SimulatedNode.build(timeline, store)
    timeline.run_for(2)
    now_ms = WALL_CLOCK_START_MS + int(timeline.now * 1000)
    key = make_key(now_ms - int(age_s * 1000), 1)
    return _send_claim(node, timeline, key, stated_ms)


def _send_claim(
    node: SimulatedNode, timeline: Timeline, key: str, stated_ms: int
) -> ClaimReply:
    request = ClaimRequest('entry-1', 1, key, stated_ms, 7, 1000)
    replies: list[ClaimReply] = []
    runner = node.core._parts.command_runner
    with mock.patch.object(runner, 'on_claim_reply', replies.append):
        node.core.on_data(timeline.now, request)
        node.execute_effects()
        timeline.run_for(1)
    return replies[0]
