"""Tests of the checks of connections that end without an answer."""

from unittest import TestCase

from platform_soak.clients import Call
from platform_soak.disruptions import STORE, Cause
from platform_soak.history import HostStops
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import (
    DESK,
    HOST,
    OTHER_HOST,
    SENT_AT,
    HistoryBuilder,
)

#: Time of the stop or the reload beside which calls are cut.
WORK_AT = SENT_AT - 0.3


def _stop(history: HistoryBuilder, at: float = WORK_AT) -> None:
    stops = HostStops(stopped_at=(at,))
    history.hosts[HOST] = stops
    history.disruptions.add(HOST, at, at + 8, Cause.STOP)


def _reload(history: HistoryBuilder, at: float = WORK_AT) -> None:
    history.hosts[HOST] = HostStops(reloaded_at=(at,))


def _cut(history: HistoryBuilder, lasts_s: float = 0.5) -> Call:
    call = history.add_call(lasts_s=lasts_s, problem='IncompleteReadError')
    history.run(call)
    return call


def _cut_in_a_stop(history: HistoryBuilder) -> None:
    _stop(history)
    _cut(history)


def _cut_while_it_waited_at_its_target(history: HistoryBuilder) -> None:
    _stop(history)
    history.reach(history.add_call())


def _cut_without_being_passed_on(history: HistoryBuilder) -> None:
    _stop(history)
    history.add_call(lasts_s=0.3)


def _cut_at_once_without_being_passed_on(history: HistoryBuilder) -> None:
    _stop(history)
    history.add_call(lasts_s=0.2)


def _cut_long_before_the_stop(history: HistoryBuilder) -> None:
    _stop(history, SENT_AT + 1)
    _cut(history)


def _cut_at_another_host(history: HistoryBuilder) -> None:
    _stop(history)
    history.run(history.add_call(host=OTHER_HOST))


def _cut_after_the_grace(history: HistoryBuilder) -> None:
    _stop(history, SENT_AT - 7)
    _cut(history)


def _ran_into_its_deadline(history: HistoryBuilder) -> None:
    _stop(history)
    history.run(history.add_call(lasts_s=3, problem='deadline'))


def _at_work_at_the_end_of_the_grace(history: HistoryBuilder) -> None:
    _stop(history, SENT_AT - 3)
    _cut(history, lasts_s=2.5)


def _done_before_the_end_of_the_grace(history: HistoryBuilder) -> None:
    _stop(history, SENT_AT - 3)
    history.finish(_cut(history, lasts_s=2.5), after_s=1)


def _sent_too_late_for_an_excuse(history: HistoryBuilder) -> None:
    _stop(history, SENT_AT - 3.1)
    _cut(history, lasts_s=2.5)


def _broken_off_by_the_target(history: HistoryBuilder) -> None:
    _stop(history)
    call = _cut(history)
    history.add_event(
        'broken', SENT_AT, attempt=call.attempt, server=DESK, way='body'
    )


def _target_broke_off_another(history: HistoryBuilder) -> None:
    _stop(history)
    _cut(history)
    history.add_event(
        'broken', SENT_AT, attempt='other', server=DESK, way='body'
    )
    history.disruptions.add(DESK, SENT_AT - 1, SENT_AT + 1)


def _target_went_down(history: HistoryBuilder) -> None:
    _stop(history)
    _cut(history)
    history.add_event('server_down', SENT_AT + 0.1, server=DESK)


def _store_was_away_before(history: HistoryBuilder) -> None:
    _stop(history)
    history.disruptions.add(STORE, SENT_AT - 5, SENT_AT - 4.5)
    _cut(history)


def _started_before(history: HistoryBuilder) -> None:
    _stop(history)
    history.disruptions.add(HOST, 0, SENT_AT - 3, Cause.START)
    _cut(history)


def _paused_before(history: HistoryBuilder) -> None:
    _stop(history)
    history.disruptions.add(HOST, SENT_AT - 5, SENT_AT - 4.5)
    _cut(history)


def _answered_in_a_stop(history: HistoryBuilder) -> None:
    _stop(history)
    history.serve()


def _cut_after_a_reload(history: HistoryBuilder) -> None:
    _reload(history)
    _cut(history)


def _sent_before_a_reload_and_cut_after(history: HistoryBuilder) -> None:
    _reload(history, SENT_AT + 0.3)
    _cut(history)


def _cut_before_a_reload(history: HistoryBuilder) -> None:
    _reload(history, SENT_AT + 0.6)
    _cut(history)


def _cut_long_after_a_reload(history: HistoryBuilder) -> None:
    _reload(history, SENT_AT - 4.1)
    _cut(history)


def _cut_beside_a_version(history: HistoryBuilder) -> None:
    history.add_version(1, 0)
    history.add_version(2, SENT_AT - 1)
    for number in range(20):
        history.serve(sent_at=SENT_AT - 50 + number)
    _cut(history)


def _cut_beside_a_version_as_usual(history: HistoryBuilder) -> None:
    _cut_beside_a_version(history)
    for number in range(20):
        call = history.add_call(sent_at=SENT_AT - 50 + number)
        history.run(call)


def _nearly_over_beside_a_version(history: HistoryBuilder) -> None:
    history.add_version(1, 0)
    history.add_version(2, SENT_AT - 1)
    history.serve(sent_at=SENT_AT - 50)
    _cut(history, lasts_s=2.2)


def _cut_long_after_a_version(history: HistoryBuilder) -> None:
    history.add_version(1, 0)
    history.add_version(2, SENT_AT - 6)
    _cut(history)


def _kept(history: HistoryBuilder, count: int) -> None:
    for number in range(count):
        call = history.add_call(sent_at=SENT_AT + number, kept=True)
        history.reach(call)


def _four_kept_connections_closed(history: HistoryBuilder) -> None:
    _kept(history, 4)


def _three_kept_connections_closed(history: HistoryBuilder) -> None:
    _kept(history, 3)


def _kept_connections_closed_without_passing_on(
    history: HistoryBuilder,
) -> None:
    for number in range(4):
        history.add_call(sent_at=SENT_AT + number, kept=True)


def _kept_connections_closed_after_a_kill(history: HistoryBuilder) -> None:
    _kept(history, 4)
    history.disruptions.add(HOST, SENT_AT - 3, SENT_AT - 1)


def _kept_connections_closed_with_their_target(history: HistoryBuilder) -> None:
    _kept(history, 4)
    history.disruptions.add(DESK, SENT_AT, SENT_AT + 9)


def _new_connections_closed(history: HistoryBuilder) -> None:
    _kept(history, 4)
    for call in history.calls:
        call.kept = False


class TestCutChecks(TestCase):
    def test_stops_cut_nothing_that_was_read(self):
        # Callers can't know whether a booking that was cut has been made.
        assert_verdicts(
            self,
            (
                Case(_cut_in_a_stop, ('LOST',)),
                Case(_cut_while_it_waited_at_its_target, ('LOST',)),
                Case(_cut_without_being_passed_on, ('LOST',)),
                Case(_cut_at_once_without_being_passed_on),
                Case(_cut_long_before_the_stop),
                Case(_cut_at_another_host),
                Case(_cut_after_the_grace),
                Case(_answered_in_a_stop),
            ),
        )

    def test_stops_are_excused_as_the_rule_says(self):
        # An excuse that is too wide hides what callers lose at each stop.
        assert_verdicts(
            self,
            (
                Case(_ran_into_its_deadline),
                Case(_at_work_at_the_end_of_the_grace),
                Case(_done_before_the_end_of_the_grace, ('LOST',)),
                Case(_sent_too_late_for_an_excuse, ('LOST',)),
                Case(_broken_off_by_the_target),
                Case(_target_broke_off_another, ('LOST',)),
                Case(_target_went_down),
                Case(_store_was_away_before),
                Case(_paused_before),
                Case(_started_before, ('LOST',)),
            ),
        )

    def test_reloads_and_versions_cut_nothing(self):
        # Operators change versions many times a day.
        assert_verdicts(
            self,
            (
                Case(_cut_after_a_reload, ('LOST',)),
                Case(_sent_before_a_reload_and_cut_after, ('LOST',)),
                Case(_cut_before_a_reload),
                Case(_cut_long_after_a_reload),
                Case(_cut_beside_a_version, ('LOST',)),
                Case(_cut_beside_a_version_as_usual),
                Case(_nearly_over_beside_a_version),
                Case(_cut_long_after_a_version),
            ),
        )

    def test_kept_connections_stay_open_for_what_was_passed_on(self):
        # Closing them cuts requests although nothing is wrong.
        assert_verdicts(
            self,
            (
                Case(_four_kept_connections_closed, ('LOST',) * 4),
                Case(_three_kept_connections_closed),
                Case(_kept_connections_closed_without_passing_on),
                Case(_kept_connections_closed_after_a_kill),
                Case(_kept_connections_closed_with_their_target),
                Case(_new_connections_closed),
            ),
        )
