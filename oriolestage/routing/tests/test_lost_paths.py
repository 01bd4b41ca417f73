"""Tests of a host whose connections to targets fail in different ways."""

import itertools
import unittest
from collections.abc import Iterator

from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._placement import Placement
from oriolestage.routing.tests.builders import (
    make_answer,
    make_placement,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import attempts_in, make_run
from oriolestage.routing.tests.test_cut_off_host import make_told_peers

RECORDS = tuple(make_record(f't-{number}') for number in range(6))
#: Interval between requests, in seconds.
INTERVAL_S = 0.2
REQUESTS = 8
RESET = AttemptLost('target.ConnectionResetError', broken=True)
CLOSED = AttemptLost('target.ServerDisconnectedError', broken=True)
MALFORMED = AttemptLost('target.MalformedResponseError')
TIMED_OUT = AttemptLost('target.deadline')
REFUSED = AttemptNotRun(NotRunReason.NOT_REACHED)
#: Ways in which attempts fail without a response, by name.
FAILURES: tuple[tuple[str, tuple[AttemptOutcome, ...]], ...] = (
    ('refused', (REFUSED,)),
    ('reset', (RESET,)),
    ('closed', (CLOSED,)),
    ('a head that breaks off', (MALFORMED,)),
    ('silent', (TIMED_OUT,)),
    ('mixed', (RESET, REFUSED, TIMED_OUT, CLOSED)),
)
#: Ends of attempts at targets that respond.
RESPONSES: tuple[tuple[str, tuple[AttemptOutcome, ...]], ...] = (
    ('answer now and then', (RESET, RESET, AttemptAnswered(make_answer()))),
    ('invalid answers', (AttemptLost('answer.unsigned', responded=True),)),
)


def _play(outcomes: Iterator[AttemptOutcome]) -> tuple[Placement, int]:
    """Send requests whose direct attempts end with ``outcomes``.

    Return the placement of the host and the number of attempts that were
    sent through other hosts, which answer them.
    """
    placement, _ = make_placement('dc-a', RECORDS)
    relayed = 0
    for request in range(REQUESTS):
        now = request * INTERVAL_S
        run = make_run(
            make_rule(),
            RECORDS,
            now,
            known=placement,
            peers=make_told_peers('dc-a'),
        )
        sent = attempts_in(run.start(now))
        while sent:
            attempt = sent.pop()
            relayed += attempt.relay is not None
            outcome: AttemptOutcome = AttemptAnswered(make_answer())
            if attempt.relay is None:
                outcome = next(outcomes)
            now += 0.01
            sent += attempts_in(run.on_outcome(attempt.attempt, outcome, now))
    return placement, relayed


class LostPathsTest(unittest.TestCase):
    """A host without a path to targets notices it however attempts fail."""

    def test_cut_off(self) -> None:
        """Guards against a host that fails all requests for the whole cut.

        Connections that were opened and then reset did not count as a sign
        of a cut, so that no request was sent through other hosts.
        """
        for name, outcomes in FAILURES:
            with self.subTest(name=name):
                placement, relayed = _play(itertools.cycle(outcomes))
                self.assertTrue(placement.observations.reach.cut_off)
                self.assertGreater(relayed, 0)

    def test_reached(self) -> None:
        """A host whose targets respond, if only in part, is not cut off."""
        for name, outcomes in RESPONSES:
            with self.subTest(name=name):
                placement, _ = _play(itertools.cycle(outcomes))
                self.assertFalse(placement.observations.reach.cut_off)

    def test_single_target(self) -> None:
        """One target that resets connections is left alone after a few.

        The others still answer, so that the host is not cut off.
        """
        placement, directory = make_placement('dc-a', RECORDS)
        target = directory.find('t-1')
        assert target is not None
        for attempt in range(3):
            now = attempt * INTERVAL_S
            placement.record_sent(target, attempt, now)
            placement.observations.record_lost(
                target, attempt, now + 0.01, responded=False
            )
        load = placement.observations.load_of(target)
        self.assertTrue(load.in_backoff(2 * INTERVAL_S + 0.02))
        self.assertFalse(placement.observations.reach.cut_off)
