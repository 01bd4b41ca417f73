"""Tests of the checks of what targets say of themselves."""

from unittest import TestCase

from platform_soak.disruptions import Cause
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import (
    DESK,
    HOST,
    OTHER_DESK,
    OTHER_HOST,
    SENT_AT,
    HistoryBuilder,
)

LIMIT_PER_S = 2
#: Requests in 4 s that this allows: 1.5 x 2 x 4 + 5.
ALLOWED = 17


def _turn_away(
    history: HistoryBuilder,
    count: int,
    after_s: float = 1,
    host: str = HOST,
) -> None:
    """Let a target turn a call away for 3 s, and let others reach it."""
    first = history.add_call(status=503)
    history.reach(first)
    history.add_event(
        'turned_away', SENT_AT, attempt=first.attempt, server=DESK, rest_s=3
    )
    for _ in range(count):
        call = history.add_call(status=503, host=host)
        history.reach(call, after_s=after_s)


def _three_reached_a_target_at_rest(history: HistoryBuilder) -> None:
    _turn_away(history, 3)


def _two_reached_a_target_at_rest(history: HistoryBuilder) -> None:
    _turn_away(history, 2)


def _three_reached_it_at_once(history: HistoryBuilder) -> None:
    _turn_away(history, 3, after_s=0.5)


def _three_reached_it_after_its_rest(history: HistoryBuilder) -> None:
    _turn_away(history, 3, after_s=3)


def _three_of_another_host(history: HistoryBuilder) -> None:
    _turn_away(history, 3, host=OTHER_HOST)


def _three_after_a_restart(history: HistoryBuilder) -> None:
    _turn_away(history, 3)
    history.disruptions.add(HOST, SENT_AT + 0.1, SENT_AT + 0.2, Cause.STOP)


def _three_without_the_store(history: HistoryBuilder) -> None:
    _turn_away(history, 3)
    history.disruptions.add(HOST, SENT_AT + 0.1, SENT_AT + 0.2)


def _say_limit(history: HistoryBuilder, at: float, host: str = HOST) -> None:
    call = history.serve(sent_at=at, host=host)
    history.add_event(
        'said_limit',
        at + 0.1,
        attempt=call.attempt,
        server=DESK,
        per_s=LIMIT_PER_S,
    )


def _send_under_a_limit(
    history: HistoryBuilder,
    count: int,
    *,
    over_s: float = 3,
    begins_after_s: float = 6,
    host: str = HOST,
    ends_after_s: float = 15,
) -> None:
    _say_limit(history, SENT_AT)
    for number in range(count):
        at = SENT_AT + begins_after_s + over_s * number / count
        history.reach(history.add_call(sent_at=at, status=503, host=host))
    _say_limit(history, SENT_AT + ends_after_s)


def _more_than_the_limit(history: HistoryBuilder) -> None:
    _send_under_a_limit(history, ALLOWED + 1)


def _all_of_the_limit(history: HistoryBuilder) -> None:
    _send_under_a_limit(history, ALLOWED)


def _more_over_a_longer_time(history: HistoryBuilder) -> None:
    _send_under_a_limit(history, ALLOWED + 1, over_s=8)


def _more_at_first(history: HistoryBuilder) -> None:
    _send_under_a_limit(history, ALLOWED + 1, begins_after_s=1)


def _more_once_it_says_nothing(history: HistoryBuilder) -> None:
    _send_under_a_limit(history, ALLOWED + 1, ends_after_s=5.5)


def _more_from_a_host_that_does_not_know(history: HistoryBuilder) -> None:
    _send_under_a_limit(history, ALLOWED + 1, host=OTHER_HOST)


def _more_after_a_freeze(history: HistoryBuilder) -> None:
    _send_under_a_limit(history, ALLOWED + 1)
    history.disruptions.add(HOST, SENT_AT + 1, SENT_AT + 2, Cause.FREEZE)


def _say_leaving(history: HistoryBuilder, server: str = DESK) -> None:
    call = history.serve(server=server)
    history.add_event(
        'said_leaving', SENT_AT + 0.1, attempt=call.attempt, server=server
    )


def _reached_after_it_said_that_it_leaves(history: HistoryBuilder) -> None:
    _say_leaving(history)
    history.serve(sent_at=SENT_AT + 4.6)


def _sent_before_the_bound(history: HistoryBuilder) -> None:
    _say_leaving(history)
    history.serve(sent_at=SENT_AT + 4.5)


def _another_target_said_it(history: HistoryBuilder) -> None:
    _say_leaving(history, OTHER_DESK)
    history.serve(sent_at=SENT_AT + 4.6)


def _it_said_so_to_another_host(history: HistoryBuilder) -> None:
    _say_leaving(history)
    history.serve(sent_at=SENT_AT + 4.6, host=OTHER_HOST)


def _said_and_restarted(history: HistoryBuilder) -> None:
    _say_leaving(history)
    history.disruptions.add(HOST, SENT_AT + 1, SENT_AT + 2, Cause.STOP)
    history.serve(sent_at=SENT_AT + 4.6)


def _said_out_of_touch(history: HistoryBuilder) -> None:
    _say_leaving(history)
    history.disruptions.add(HOST, SENT_AT + 1, SENT_AT + 2)
    history.serve(sent_at=SENT_AT + 4.6)


class TestTargetNotices(TestCase):
    def test_targets_that_turn_away_get_a_rest(self):
        # A target that is overloaded does not recover under retries.
        assert_verdicts(
            self,
            (
                Case(_three_reached_a_target_at_rest, ('BUDGET',)),
                Case(_two_reached_a_target_at_rest),
                Case(_three_reached_it_at_once),
                Case(_three_reached_it_after_its_rest),
                Case(_three_of_another_host),
                Case(_three_after_a_restart),
                Case(_three_without_the_store, ('BUDGET',)),
            ),
        )

    def test_targets_get_what_they_take(self):
        # A target in need that gets more than it takes fails.
        assert_verdicts(
            self,
            (
                Case(_more_than_the_limit, ('LIMIT',)),
                Case(_all_of_the_limit),
                Case(_more_over_a_longer_time),
                Case(_more_at_first),
                Case(_more_once_it_says_nothing),
                Case(_more_from_a_host_that_does_not_know),
                Case(_more_after_a_freeze),
            ),
        )

    def test_hosts_heed_that_a_target_leaves(self):
        # The store may be away when a target leaves.
        assert_verdicts(
            self,
            (
                Case(_reached_after_it_said_that_it_leaves, ('DRAIN',)),
                Case(_sent_before_the_bound),
                Case(_another_target_said_it),
                Case(_it_said_so_to_another_host),
                Case(_said_and_restarted),
                Case(_said_out_of_touch, ('DRAIN',)),
            ),
        )
