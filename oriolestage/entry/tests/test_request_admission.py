"""Tests of what the results of admitted requests say about the targets."""

from unittest import TestCase, mock

from oriolestage.admission._fair_throttle import FairThrottle
from oriolestage.admission.tests.builders import make_line, make_waiter
from oriolestage.entry._request_admission import AdmittedRequest
from oriolestage.routing._answers import (
    Delivered,
    GiveUpReason,
    Refused,
    RequestResult,
)
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing.tests.builders import make_answer

ANSWERED = Delivered(make_answer())
REFUSED = Refused(GiveUpReason.NO_ROOM, 1)


class RecordedResultTest(TestCase):
    """Only what targets did counts for the throttle."""

    def test_own_limits(self) -> None:
        """Guards against refusals by the line that count as answers.

        The throttle then took the targets to have more room than they had.
        """
        self._check(REFUSED, turned_away=False, recorded=[])

    def test_targets(self) -> None:
        """Answers and requests that targets turned away count."""
        found = mock.call(turned_away=False)
        self._check(ANSWERED, turned_away=False, recorded=[found])
        lacked = mock.call(turned_away=True)
        self._check(REFUSED, turned_away=True, recorded=[lacked])

    def _check(
        self,
        result: RequestResult,
        *,
        turned_away: bool,
        recorded: list[object],
    ) -> None:
        throttle = mock.Mock(FairThrottle)
        run = mock.Mock(RequestRun, turned_away=turned_away)
        admitted = AdmittedRequest(make_waiter(make_line()), throttle)
        admitted.record_result(result, run)
        self.assertEqual(throttle.record_result.mock_calls, recorded)
