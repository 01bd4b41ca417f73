"""Tests of the checks of what is done for callers and in their attempts."""

from unittest import TestCase

from platform_soak.clients import LEFT, Call
from platform_soak.disruptions import Cause
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import (
    HOST,
    LOG,
    LOOKUP,
    SENT_AT,
    HistoryBuilder,
)


def _leave(history: HistoryBuilder, lasts_s: float = 0.1) -> Call:
    return history.add_call(LOOKUP, lasts_s=lasts_s, problem=LEFT)


def _arrive_late(history: HistoryBuilder, count: int) -> None:
    for _ in range(count):
        history.reach(_leave(history), LOG, after_s=0.7)


def _four_arrived_after_their_callers_left(history: HistoryBuilder) -> None:
    _arrive_late(history, 4)


def _three_arrived_after_their_callers_left(history: HistoryBuilder) -> None:
    _arrive_late(history, 3)


def _four_arrived_soon_after(history: HistoryBuilder) -> None:
    for _ in range(4):
        history.reach(_leave(history), LOG, after_s=0.5)


def _four_arrived_late_after_a_kill(history: HistoryBuilder) -> None:
    _arrive_late(history, 4)
    history.disruptions.add(HOST, SENT_AT - 3, SENT_AT - 1, Cause.KILL)


def _work(history: HistoryBuilder, lasting: int, dropped: int) -> None:
    for number in range(lasting + dropped):
        call = _leave(history)
        history.run(call, LOG)
        history.events[-1]['work_s'] = 1.5
        ends_after_s = 1.5 if number < lasting else 0.2
        history.add_event(
            'dropped', SENT_AT + ends_after_s, attempt=call.attempt, server=LOG
        )


def _two_of_seven_ran_on(history: HistoryBuilder) -> None:
    _work(history, 2, 5)


def _one_of_four_ran_on(history: HistoryBuilder) -> None:
    _work(history, 1, 3)


def _short_ones_do_not_count(history: HistoryBuilder) -> None:
    _work(history, 1, 3)
    for _ in range(9):
        call = _leave(history)
        history.run(call, LOG)
        history.events[-1]['work_s'] = 0.2


def _short_ones_do_not_excuse(history: HistoryBuilder) -> None:
    _work(history, 2, 2)
    for _ in range(9):
        call = _leave(history)
        history.run(call, LOG)
        history.events[-1]['work_s'] = 0.2


def _run_on(history: HistoryBuilder, count: int) -> None:
    for _ in range(count):
        call = history.add_call('/search/1', status=504)
        for server in ('i-shard-0', 'i-other', 'i-third'):
            history.run(call, 'i-shard-0')
            history.events[-1]['server'] = server


def _four_ran_on_too_many_targets(history: HistoryBuilder) -> None:
    _run_on(history, 4)


def _three_ran_on_too_many_targets(history: HistoryBuilder) -> None:
    _run_on(history, 3)


def _one_of_the_targets_went_down(history: HistoryBuilder) -> None:
    _run_on(history, 4)
    history.add_event('server_down', SENT_AT + 0.1, server='i-other')


def _two_targets_of_each_shard(history: HistoryBuilder) -> None:
    for _ in range(4):
        call = history.add_call('/search/1', status=504)
        for server in ('i-shard-0', 'i-shard-1', 'i-shard-2'):
            history.run(call, server)


class TestLoadChecks(TestCase):
    def test_nothing_is_done_for_callers_that_left(self):
        # Work that nobody waits for takes slots of what callers wait for.
        assert_verdicts(
            self,
            (
                Case(_four_arrived_after_their_callers_left, ('GONE',) * 4),
                Case(_three_arrived_after_their_callers_left),
                Case(_four_arrived_soon_after),
                Case(_four_arrived_late_after_a_kill),
                Case(_two_of_seven_ran_on, ('GONE',) * 2),
                Case(_one_of_four_ran_on),
                Case(_short_ones_do_not_count),
                Case(_short_ones_do_not_excuse, ('GONE',) * 2),
            ),
        )

    def test_attempts_run_on_few_targets(self):
        # Each attempt beyond the route's takes the place of another caller.
        assert_verdicts(
            self,
            (
                Case(_four_ran_on_too_many_targets, ('BUDGET',) * 4),
                Case(_three_ran_on_too_many_targets),
                Case(_one_of_the_targets_went_down),
                Case(_two_targets_of_each_shard),
            ),
        )
