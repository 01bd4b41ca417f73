"""Tests of the checks for older versions and for denied requests."""

from unittest import TestCase

from platform_soak.disruptions import STORE, Cause
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import (
    BOOKING,
    DESK,
    HOST,
    LOG,
    LOOKUP,
    OTHER_HOST,
    SENT_AT,
    HistoryBuilder,
)

MOVED = '/moved/1'
ADDED = '/added-2/1'


def _use_new_version(history: HistoryBuilder) -> None:
    """Let a run show a version that is not due yet."""
    history.add_version(1, 0)
    history.add_version(2, SENT_AT - 0.5)
    history.serve(ADDED, LOG)


def _went_back_to_the_old_service(history: HistoryBuilder) -> None:
    _use_new_version(history)
    history.serve(MOVED, DESK, sent_at=SENT_AT + 0.3)


def _went_back_to_no_route(history: HistoryBuilder) -> None:
    _use_new_version(history)
    history.add_call(ADDED, sent_at=SENT_AT + 0.3, status=404)


def _stayed(history: HistoryBuilder) -> None:
    _use_new_version(history)
    history.serve(MOVED, LOG, sent_at=SENT_AT + 0.3)


def _old_service_within_the_slack(history: HistoryBuilder) -> None:
    _use_new_version(history)
    history.serve(MOVED, DESK, sent_at=SENT_AT + 0.2)


def _old_service_at_another_host(history: HistoryBuilder) -> None:
    _use_new_version(history)
    history.serve(MOVED, DESK, sent_at=SENT_AT + 0.3, host=OTHER_HOST)


def _old_service_after_a_restart(history: HistoryBuilder) -> None:
    _use_new_version(history)
    history.disruptions.add(HOST, SENT_AT + 0.1, SENT_AT + 0.2, Cause.KILL)
    history.serve(MOVED, DESK, sent_at=SENT_AT + 0.3)


def _went_back_out_of_touch(history: HistoryBuilder) -> None:
    _use_new_version(history)
    history.disruptions.add(HOST, SENT_AT - 1, SENT_AT + 1)
    history.serve(MOVED, DESK, sent_at=SENT_AT + 0.3)


def _next_version(history: HistoryBuilder) -> None:
    _use_new_version(history)
    history.add_version(3, SENT_AT + 0.2)
    history.serve(MOVED, DESK, sent_at=SENT_AT + 0.3)


def _deny(
    history: HistoryBuilder,
    count: int,
    status: int = 404,
    path: str = LOOKUP,
) -> None:
    for _ in range(count):
        history.add_call(path, status=status)


def _six_denied(history: HistoryBuilder) -> None:
    _deny(history, 6, 400)


def _five_denied(history: HistoryBuilder) -> None:
    _deny(history, 5, 400)


def _six_redirected(history: HistoryBuilder) -> None:
    _deny(history, 6, 302, BOOKING)


def _six_queries_denied(history: HistoryBuilder) -> None:
    _deny(history, 6, 400, '/search/1')


def _six_refused(history: HistoryBuilder) -> None:
    _deny(history, 6, 429)
    _deny(history, 6, 503)


def _six_of_a_dropped_route(history: HistoryBuilder) -> None:
    history.add_version(1, 0)
    history.add_version(2, SENT_AT - 9)
    _deny(history, 6, 404, '/added-0/1')


def _six_of_a_route_of_soon(history: HistoryBuilder) -> None:
    history.add_version(1, 0)
    history.add_version(2, SENT_AT - 3)
    _deny(history, 6, 404, ADDED)


def _six_bad_ones_out_of_touch(history: HistoryBuilder) -> None:
    history.disruptions.add(STORE, SENT_AT - 3, SENT_AT - 1)
    _deny(history, 6, 400)


def _six_not_found_out_of_touch(history: HistoryBuilder) -> None:
    history.disruptions.add(STORE, SENT_AT - 3, SENT_AT - 1)
    _deny(history, 6)


def _eleven_not_found_of_very_many(history: HistoryBuilder) -> None:
    history.disruptions.add(STORE, SENT_AT - 3, SENT_AT - 1)
    _deny(history, 11)
    for _ in range(3100):
        history.add_call(status=503)


def _ten_not_found_of_very_many(history: HistoryBuilder) -> None:
    history.disruptions.add(STORE, SENT_AT - 3, SENT_AT - 1)
    _deny(history, 10)
    for _ in range(3100):
        history.add_call(status=503)


class TestVersionChecks(TestCase):
    def test_hosts_do_not_go_back(self):
        # Callers that saw a new route would lose it again.
        assert_verdicts(
            self,
            (
                Case(_went_back_to_the_old_service, ('CONFIG',)),
                Case(_went_back_to_no_route, ('CONFIG',)),
                Case(_stayed),
                Case(_old_service_within_the_slack),
                Case(_old_service_at_another_host),
                Case(_old_service_after_a_restart),
                Case(_went_back_out_of_touch, ('CONFIG',)),
                Case(_next_version),
            ),
        )

    def test_what_is_allowed_is_not_denied(self):
        # Callers do not try again after a denial.
        assert_verdicts(
            self,
            (
                Case(_six_denied, ('DENIED',) * 6),
                Case(_five_denied),
                Case(_six_redirected, ('DENIED',) * 6),
                Case(_six_queries_denied, ('DENIED',) * 6),
                Case(_six_refused),
                Case(_six_of_a_dropped_route),
                Case(_six_of_a_route_of_soon),
                Case(_six_bad_ones_out_of_touch),
                Case(_six_not_found_out_of_touch, ('DENIED',) * 6),
                Case(_eleven_not_found_of_very_many, ('DENIED',) * 11),
                Case(_ten_not_found_of_very_many),
            ),
        )
