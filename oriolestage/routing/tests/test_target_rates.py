"""Tests of the rate limits that targets state."""

import unittest

from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._target_rates import TargetRates
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing.tests.builders import REGIONS, make_record


class TargetRatesTest(unittest.TestCase):
    """Changes of a rate limit and its use are logged."""

    def setUp(self) -> None:
        """Create rates that record their log events."""
        self._changes: list[StateChange] = []
        self._rates = TargetRates(
            HostLocation('host-1', 'dc-a', REGIONS), self._changes.append
        )
        self._target = KnownTarget(make_record(), cold_until=0)

    def test_changes_are_logged_once(self) -> None:
        """A limit is logged when it is stated, changed and ended."""
        for second, limit in enumerate((None, 14.2, 14.2, 7.1, None, None)):
            self._rates.record_limit(self._target, limit, second)
        self.assertEqual(
            [change.event for change in self._changes],
            [
                'target_rate_limited',
                'target_rate_limited',
                'target_rate_limit_ended',
            ],
        )
        self.assertEqual(self._rates.limited_count, 0)

    def test_own_requests_are_logged(self) -> None:
        """The requests of this host are logged before and after a limit."""
        for step in range(90):
            if step == 50:
                self._rates.record_limit(self._target, 14.2, 5)
            self._rates.record_sent(self._target, step / 10)
        fields = [dict(change.fields) for change in self._changes]
        self.assertEqual(fields[0]['sent_before'], 40)
        self.assertEqual(self._changes[1].event, 'target_rate_use')
        self.assertEqual(fields[1]['sent_before'], 40)
