"""Tests of the checks of processes and of the calm at the end."""

from unittest import TestCase

from platform_soak.history import HostStops
from platform_soak.answers import LONG_SUFFIX
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import CALM_FROM, HOST, LOG, HistoryBuilder

LOOKUP = '/lookup/1'
LONG = f'{LOOKUP}{LONG_SUFFIX}'


def _ended(history: HistoryBuilder) -> None:
    history.hosts[HOST] = HostStops(ended_at=(7, 9))


def _large(history: HistoryBuilder) -> None:
    history.hosts[HOST] = HostStops(memory_mb=301)


def _talkative(history: HistoryBuilder) -> None:
    history.hosts[HOST] = HostStops(log_bytes=40_000_001)


def _stopped_small_and_quiet(history: HistoryBuilder) -> None:
    history.hosts[HOST] = HostStops(
        stopped_at=(7,), memory_mb=300, log_bytes=40_000_000
    )


def _end(history: HistoryBuilder, failed: int, path: str = LOOKUP) -> None:
    for number in range(98):
        history.serve(LOOKUP, LOG, sent_at=CALM_FROM + number / 100)
    for _ in range(failed):
        history.add_call(path, sent_at=CALM_FROM, status=503)


def _three_of_a_hundred_not_served(history: HistoryBuilder) -> None:
    _end(history, 3)


def _two_of_a_hundred_not_served(history: HistoryBuilder) -> None:
    _end(history, 2)


def _routes_without_a_promise_not_served(history: HistoryBuilder) -> None:
    _end(history, 50, '/added-2/1')


def _long_requests_refused(history: HistoryBuilder) -> None:
    _end(history, 50, LONG)


def _long_requests_lost(history: HistoryBuilder) -> None:
    _end(history, 0)
    for status in (0, 502, 504):
        history.add_call(LONG, sent_at=CALM_FROM, status=status)


def _not_served_before_the_calm(history: HistoryBuilder) -> None:
    for _ in range(9):
        history.add_call(LOOKUP, sent_at=CALM_FROM - 1, status=503)


class TestHostChecks(TestCase):
    def test_processes_live_within_their_limits(self):
        # A process that ends by itself takes its connections with it.
        assert_verdicts(
            self,
            (
                Case(_ended, ('ENDED', 'ENDED')),
                Case(_large, ('MEMORY',)),
                Case(_talkative, ('LOG',)),
                Case(_stopped_small_and_quiet),
            ),
        )

    def test_callers_are_served_in_the_calm(self):
        # A host that does not recover from a fault stays out of use.
        assert_verdicts(
            self,
            (
                Case(_three_of_a_hundred_not_served, ('SERVED',)),
                Case(_two_of_a_hundred_not_served),
                Case(_routes_without_a_promise_not_served),
                Case(_long_requests_refused),
                Case(_long_requests_lost, ('SERVED',)),
                Case(_not_served_before_the_calm),
            ),
        )
