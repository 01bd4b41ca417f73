"""Tests of requests to a single service."""

import unittest

from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    Delivered,
    Failed,
    GiveUpReason,
    NotRunReason,
    Refused,
)
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._run_types import (
    CancelAttempt,
)
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing.tests.builders import (
    make_answer,
    make_placement,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import (
    attempts_in,
    result_in,
    start_run,
)

#: HTTP status of a target that failed.
SERVER_ERROR = 500


def _three_targets() -> tuple[TargetRecord, ...]:
    return (make_record('t-1'), make_record('t-2'), make_record('t-3'))


class SingleServiceTest(unittest.TestCase):
    """A request to a single service is sent to one target at a time."""

    def test_answer_is_delivered(self) -> None:
        """Success and client errors are passed on to the caller unchanged."""
        for status in (200, 404):
            run, actions = start_run(make_rule(), _three_targets())
            answer = make_answer(status)
            ended = run.on_outcome(
                attempts_in(actions)[0].attempt,
                AttemptAnswered(answer),
                0.02,
            )
            with self.subTest(status=status):
                self.assertEqual(result_in(ended), Delivered(answer))

    def test_refused_while_targets_rest(self) -> None:
        """A request is refused at once if all targets rest past its deadline.

        The caller is told when the first of them takes requests again.
        """
        records = _three_targets()[:2]
        placement, _ = make_placement(records=records)
        run, actions = start_run(make_rule(), records, known=placement)
        for rest_s in (3.0, 4.0):
            sent = attempts_in(actions)[0]
            target = sent.target.record.identity
            placement.record_rest(target, rest_s, 0.01)
            actions = run.on_outcome(
                sent.attempt, AttemptNotRun(NotRunReason.SHED), 0.01
            )
        self.assertEqual(result_in(actions), Refused(GiveUpReason.NO_ROOM, 3.0))

    def test_not_run_is_retried(self) -> None:
        """A request that certainly did not run is sent to another target.

        This holds for requests that may run only once, too.
        """
        for reason in NotRunReason:
            run, actions = start_run(
                make_rule(repeatable=False), _three_targets()
            )
            first = attempts_in(actions)[0]
            again = attempts_in(
                run.on_outcome(first.attempt, AttemptNotRun(reason), 0.01),
            )
            with self.subTest(reason=reason):
                self.assertEqual(len(again), 1)
                self.assertIsNot(again[0].target, first.target)

    def test_lost_is_not_retried(self) -> None:
        """A request that may run only once is not retried after a loss.

        The lost attempt may have run, so a retry could run it twice.
        """
        run, actions = start_run(make_rule(repeatable=False), _three_targets())
        ended = run.on_outcome(
            attempts_in(actions)[0].attempt,
            AttemptLost('reset'),
            0.01,
        )
        self.assertEqual(attempts_in(ended), [])
        self.assertIsInstance(result_in(ended), Failed)

    def test_failure_without_retry_is_delivered(self) -> None:
        """The target's error is passed on if the request may run only once."""
        run, actions = start_run(make_rule(repeatable=False), _three_targets())
        failure = make_answer(SERVER_ERROR)
        ended = run.on_outcome(
            attempts_in(actions)[0].attempt,
            AttemptAnswered(failure),
            0.01,
        )
        self.assertEqual(result_in(ended), Delivered(failure))

    def test_non_repeatable_is_never_hedged(self) -> None:
        """A request that may run only once has no timer but the deadline."""
        run, _ = start_run(make_rule(repeatable=False), _three_targets())
        self.assertEqual(run.wake_at, make_rule().timeout_s)

    def test_max_attempts(self) -> None:
        """No more than ``max_attempts`` attempts may run a request."""
        run, actions = start_run(make_rule(), _three_targets())
        sent = attempts_in(actions)
        for _ in range(2):
            actions = run.on_outcome(
                sent[-1].attempt,
                AttemptLost('reset'),
                0.01,
            )
            sent.extend(attempts_in(actions))
        self.assertEqual(len(sent), 2)
        self.assertIsInstance(result_in(actions), Failed)

    def test_late_attempt_is_hedged(self) -> None:
        """A late attempt gets a hedge; the first answer cancels the other."""
        run, actions = start_run(make_rule(), _three_targets())
        first = attempts_in(actions)[0]
        due_at = run.wake_at
        self.assertLess(due_at, make_rule().objective_s)
        second = attempts_in(run.on_timer(due_at))[0]
        self.assertTrue(second.hedge)
        ended = run.on_outcome(
            second.attempt,
            AttemptAnswered(make_answer()),
            due_at + 0.01,
        )
        self.assertIsInstance(result_in(ended), Delivered)
        self.assertIn(CancelAttempt(first.attempt), ended)

    def test_no_budget_no_hedge(self) -> None:
        """No hedge is sent when the retry budget is exhausted."""
        empty = BudgetBounds(ratio=0, allowance=0)
        run, _ = start_run(make_rule(), _three_targets(), empty)
        self.assertEqual(attempts_in(run.on_timer(run.wake_at)), [])

    def test_no_target_is_refused_at_once(self) -> None:
        """A request to a service without targets is refused as not run."""
        _, actions = start_run(make_rule(), ())
        result = result_in(actions)
        self.assertIsInstance(result, Refused)
        if isinstance(result, Refused):
            self.assertGreater(result.retry_after_s, 0)

    def test_no_room_is_refused_soon(self) -> None:
        """A request is refused before its objective if no target is free."""
        rule = make_rule(repeatable=False)
        placement, directory = make_placement('dc-a', (make_record('t-1'),))
        target = directory.find('t-1')
        assert target is not None
        placement.observations.record_not_reached(target, 0, 0)
        run, actions = start_run(rule, (make_record('t-1'),), None, placement)
        result = result_in(actions)
        while result is None:
            now = run.wake_at
            self.assertLess(now, rule.objective_s)
            result = result_in(run.on_timer(now))
        self.assertIsInstance(result, Refused)

    def test_retry_waits_for_free_target(self) -> None:
        """A retry waits for a free target if the first attempt may have run.

        Such a request can no longer be refused as not run.
        """
        rule = make_rule()
        placement, directory = make_placement('dc-a', (make_record('t-1'),))
        target = directory.find('t-1')
        assert target is not None
        run, actions = start_run(rule, (make_record('t-1'),), None, placement)
        sent = attempts_in(actions)[0]
        placement.observations.record_not_reached(target, 0, 0.1)
        actions = run.on_outcome(sent.attempt, AttemptLost('reset'), 0.1)
        self.assertIsNone(result_in(actions))
        while not attempts_in(actions):
            self.assertIsNone(result_in(actions))
            actions = run.on_timer(run.wake_at)

    def test_deadline(self) -> None:
        """A request without an answer at its deadline ends as failed."""
        run, _ = start_run(make_rule(repeatable=False), _three_targets())
        result = result_in(run.on_timer(make_rule().timeout_s))
        self.assertIsInstance(result, Failed)
