"""Tests of the checks of roll-outs."""

from unittest import TestCase

from platform_soak.disruptions import STORE, Cause
from platform_soak.rollouts import COMPLETED, ROLLED_BACK
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import (
    HOST,
    LOG,
    LOOKUP,
    SENT_AT,
    HistoryBuilder,
)

NEW = 'i-new'
#: The deadline is 12 s after the order.
DEADLINE = SENT_AT + 12


def _order(
    history: HistoryBuilder,
    kind: str,
    state: str,
    entered_at: float = SENT_AT + 9,
) -> None:
    """Let targets start, an order follow and a state be entered."""
    history.add_event(
        'server_up',
        SENT_AT - 1,
        server=NEW,
        service='visit-log',
        zone='ege-a',
        version='v2',
    )
    history.add_event('ordered', SENT_AT, version='v2', rollout=kind)
    if state:
        history.add_event(
            'rollout_state', entered_at, version='v2', state=state
        )
    history.add_event('decided', SENT_AT + 16, version='v2', state=state)


def _send(
    history: HistoryBuilder, server: str, count: int, sent_at: float
) -> None:
    for _ in range(count):
        call = history.add_call(LOOKUP, sent_at=sent_at)
        history.reach(call, server)


def _good_completed(history: HistoryBuilder) -> None:
    _order(history, 'good', COMPLETED)
    _send(history, NEW, 99, SENT_AT + 5)


def _good_rolled_back(history: HistoryBuilder) -> None:
    _order(history, 'good', ROLLED_BACK)


def _good_undecided(history: HistoryBuilder) -> None:
    _order(history, 'good', '')


def _good_completed_late(history: HistoryBuilder) -> None:
    _order(history, 'good', COMPLETED, DEADLINE + 0.1)


def _good_completed_late_without_store(history: HistoryBuilder) -> None:
    _good_completed_late(history)
    history.disruptions.add(STORE, DEADLINE - 3, DEADLINE)


def _bad_rolled_back(history: HistoryBuilder) -> None:
    _order(history, 'failing', ROLLED_BACK)


def _bad_completed(history: HistoryBuilder) -> None:
    _order(history, 'failing', COMPLETED)


def _expose(history: HistoryBuilder, exposed: int) -> None:
    _order(history, 'slow', ROLLED_BACK)
    _send(history, NEW, exposed, SENT_AT + 5)
    _send(history, LOG, 200 - exposed, SENT_AT + 5)


def _most_exposure(history: HistoryBuilder) -> None:
    _expose(history, 70)


def _too_much_exposure(history: HistoryBuilder) -> None:
    _expose(history, 71)


def _fail_until(history: HistoryBuilder, bad: int, last_sent_at: float) -> None:
    _order(history, 'failing', ROLLED_BACK)
    for _ in range(bad):
        history.add_event(
            'broken', SENT_AT + 2, attempt='', server=NEW, way='status_500'
        )
    _send(history, NEW, 1, last_sent_at)


def _sent_after_the_last_bad_one(history: HistoryBuilder) -> None:
    _fail_until(history, 50, SENT_AT + 7.1)


def _sent_soon_after_the_last_bad_one(history: HistoryBuilder) -> None:
    _fail_until(history, 50, SENT_AT + 6.9)


def _sent_after_fewer_bad_ones(history: HistoryBuilder) -> None:
    _fail_until(history, 49, SENT_AT + 7.1)


def _sent_before_the_order(history: HistoryBuilder) -> None:
    _order(history, 'good', COMPLETED)
    _send(history, NEW, 1, SENT_AT - 0.5)


def _sent_before_the_order_after_a_start(history: HistoryBuilder) -> None:
    _sent_before_the_order(history)
    history.disruptions.add(HOST, SENT_AT - 3, SENT_AT - 1, Cause.KILL)


class TestRolloutChecks(TestCase):
    def test_ends(self):
        # A bad version stays, or a good one never comes into force.
        assert_verdicts(
            self,
            (
                Case(_good_completed),
                Case(_good_rolled_back, ('ROLLOUT',)),
                Case(_good_undecided, ('ROLLOUT',)),
                Case(_good_completed_late, ('ROLLOUT',)),
                Case(_good_completed_late_without_store),
                Case(_bad_rolled_back),
                Case(_bad_completed, ('ROLLOUT',)),
            ),
        )

    def test_exposure(self):
        # Callers get the responses of a bad version.
        assert_verdicts(
            self,
            (
                Case(_most_exposure),
                Case(_too_much_exposure, ('EXPOSED',)),
                Case(_sent_after_the_last_bad_one, ('EXPOSED',)),
                Case(_sent_soon_after_the_last_bad_one),
                Case(_sent_after_fewer_bad_ones),
            ),
        )

    def test_versions_without_an_order(self):
        # Targets that only wait for their order get requests.
        assert_verdicts(
            self,
            (
                Case(_sent_before_the_order, ('VERSION',)),
                Case(_sent_before_the_order_after_a_start),
            ),
        )
