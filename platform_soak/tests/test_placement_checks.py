"""Tests of the checks of the targets that requests reach."""

from unittest import TestCase

from platform_soak.configurations import Evacuation
from platform_soak.disruptions import STORE
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import (
    DESK,
    HOST,
    LOG,
    OTHER_DESK,
    SENT_AT,
    HistoryBuilder,
)

#: Time of the acknowledgements: long before most calls are sent.
ACKNOWLEDGED_AT = SENT_AT - 10
MOVED = '/moved/1'
ZONE = 'ege-a'


def _versions(history: HistoryBuilder, at: float = ACKNOWLEDGED_AT) -> None:
    history.add_version(1, 0)
    history.add_version(2, at)


def _run_by_the_old_service(history: HistoryBuilder) -> None:
    _versions(history)
    history.serve(MOVED, DESK)


def _run_by_the_new_service(history: HistoryBuilder) -> None:
    _versions(history)
    history.serve(MOVED, LOG)


def _run_by_the_old_service_in_time(history: HistoryBuilder) -> None:
    _versions(history, SENT_AT - 4)
    history.serve(MOVED, DESK)


def _run_by_the_old_service_after_a_kill(history: HistoryBuilder) -> None:
    _versions(history)
    history.disruptions.add(HOST, SENT_AT - 8, SENT_AT - 8)
    history.serve(MOVED, DESK)


def _run_by_the_old_service_long_after_a_kill(history: HistoryBuilder) -> None:
    _versions(history)
    history.disruptions.add(HOST, SENT_AT - 12, SENT_AT - 9.1)
    history.serve(MOVED, DESK)


def _run_by_the_old_service_without_store(history: HistoryBuilder) -> None:
    _versions(history)
    history.disruptions.add(STORE, SENT_AT - 8, SENT_AT - 7)
    history.serve(MOVED, DESK)


def _run_by_the_next_service(history: HistoryBuilder) -> None:
    _versions(history)
    history.add_version(3, SENT_AT - 1)
    history.serve(MOVED, DESK)


def _run_as_a_version_of_later(history: HistoryBuilder) -> None:
    _versions(history)
    history.serve(MOVED, DESK)
    history.add_version(3, SENT_AT + 9)


def _added_route_not_found(history: HistoryBuilder) -> None:
    _versions(history)
    history.add_call('/added-2/1', status=404)


def _dropped_route_not_found(history: HistoryBuilder) -> None:
    _versions(history)
    history.add_call('/added-0/1', status=404)


def _dropped_route_run(history: HistoryBuilder) -> None:
    _versions(history)
    history.serve('/added-0/1', LOG)


def _added_route_not_found_in_time(history: HistoryBuilder) -> None:
    _versions(history, SENT_AT - 3)
    history.add_call('/added-2/1', status=404)


def _reached_after_leaving(history: HistoryBuilder) -> None:
    history.add_event('leaving', SENT_AT - 4.1, server=DESK)
    history.serve()


def _reached_just_after_the_bound(history: HistoryBuilder) -> None:
    history.add_event('leaving', SENT_AT - 4, server=DESK)
    history.serve()


def _reached_while_it_drains(history: HistoryBuilder) -> None:
    history.add_event('leaving', SENT_AT - 3.9, server=DESK)
    history.serve()


def _reached_after_another_left(history: HistoryBuilder) -> None:
    history.add_event('leaving', SENT_AT - 9, server=OTHER_DESK)
    history.serve()


def _reached_after_leaving_and_a_pause(history: HistoryBuilder) -> None:
    history.add_event('leaving', SENT_AT - 5, server=DESK)
    history.disruptions.add(HOST, SENT_AT - 8.5, SENT_AT - 8)
    history.serve()


def _reached_long_after_leaving_and_a_pause(history: HistoryBuilder) -> None:
    history.add_event('leaving', SENT_AT - 30, server=DESK)
    history.disruptions.add(HOST, SENT_AT - 31, SENT_AT - 29)
    history.serve()


def _left_while_the_store_was_away(history: HistoryBuilder) -> None:
    history.add_event('leaving', SENT_AT - 20, server=DESK)
    history.disruptions.add(STORE, SENT_AT - 24, SENT_AT - 21)
    history.serve()


def _reached_an_evacuated_zone(history: HistoryBuilder) -> None:
    history.evacuations.append(Evacuation(ZONE, SENT_AT - 5, SENT_AT + 5))
    history.serve()


def _reached_it_in_time(history: HistoryBuilder) -> None:
    history.evacuations.append(Evacuation(ZONE, SENT_AT - 4.9, SENT_AT + 5))
    history.serve()


def _reached_it_once_it_was_back(history: HistoryBuilder) -> None:
    history.evacuations.append(Evacuation(ZONE, SENT_AT - 9, SENT_AT))
    history.serve()


def _reached_another_zone(history: HistoryBuilder) -> None:
    history.evacuations.append(Evacuation(ZONE, SENT_AT - 9, SENT_AT + 5))
    history.serve(server=OTHER_DESK)


def _reached_it_after_a_pause(history: HistoryBuilder) -> None:
    history.evacuations.append(Evacuation(ZONE, SENT_AT - 9, SENT_AT + 5))
    history.disruptions.add(HOST, SENT_AT - 9, SENT_AT - 8)
    history.serve()


def _reached_it_long_after_a_pause(history: HistoryBuilder) -> None:
    history.evacuations.append(Evacuation(ZONE, SENT_AT - 30, SENT_AT + 5))
    history.disruptions.add(HOST, SENT_AT - 31, SENT_AT - 29)
    history.serve()


class TestPlacementChecks(TestCase):
    def test_versions_bind_once_they_are_due(self):
        # A host that is stuck at an old version sends work to the wrong place.
        assert_verdicts(
            self,
            (
                Case(_run_by_the_old_service, ('CONFIG',)),
                Case(_run_by_the_new_service),
                Case(_run_by_the_old_service_in_time),
                Case(_run_by_the_old_service_after_a_kill),
                Case(_run_by_the_old_service_long_after_a_kill, ('CONFIG',)),
                Case(_run_by_the_old_service_without_store),
                Case(_run_by_the_next_service),
                Case(_run_as_a_version_of_later, ('CONFIG',)),
                Case(_added_route_not_found, ('CONFIG',)),
                Case(_dropped_route_not_found),
                Case(_dropped_route_run, ('CONFIG',)),
                Case(_added_route_not_found_in_time),
            ),
        )

    def test_targets_that_left_get_nothing(self):
        # Requests to a target that has left are lost with it.
        assert_verdicts(
            self,
            (
                Case(_reached_after_leaving, ('DRAIN',)),
                Case(_reached_just_after_the_bound, ('DRAIN',)),
                Case(_reached_while_it_drains),
                Case(_reached_after_another_left),
                Case(_reached_after_leaving_and_a_pause),
                Case(_reached_long_after_leaving_and_a_pause, ('DRAIN',)),
                Case(_left_while_the_store_was_away),
            ),
        )

    def test_evacuated_data_centres_get_nothing(self):
        # A data centre is evacuated since it is about to lose power.
        assert_verdicts(
            self,
            (
                Case(_reached_an_evacuated_zone, ('EVAC',)),
                Case(_reached_it_in_time),
                Case(_reached_it_once_it_was_back),
                Case(_reached_another_zone),
                Case(_reached_it_after_a_pause),
                Case(_reached_it_long_after_a_pause, ('EVAC',)),
            ),
        )
