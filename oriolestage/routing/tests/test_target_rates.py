"""Tests of the rate limits that targets state."""

import unittest

from oriolestage.routing._placement_types import (
    ChosenTarget,
    HostLocation,
    TargetRequirements,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._target_rates import TargetRates
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing.tests.builders import (
    REGIONS,
    make_placement,
    make_record,
)


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


class RegisteredAgainTest(unittest.TestCase):
    """Guards against a limit that is forgotten while a lease has lapsed.

    Each host sent such a target a request before it knew the limit again.
    """

    def _sends(self, back_at: float, started_ms: int) -> bool:
        """Return whether a host sends to a target that is back."""
        placement, directory = make_placement(records=(make_record('t-1'),))
        placement.record_rate_limit('t-1', 0.1, 0)
        directory.remove('t-1', 1)
        placement.forget_removed_targets()
        directory.register(make_record('t-1', started_ms=started_ms), back_at)
        choice = placement.choose(
            TargetRequirements('shard-0', 'route'), (), back_at
        )
        return isinstance(choice, ChosenTarget)

    def test_same_process(self) -> None:
        """The limit of a process holds when it is registered again."""
        self.assertFalse(self._sends(3, started_ms=1))

    def test_new_process(self) -> None:
        """A new process of the target has no limit."""
        self.assertTrue(self._sends(3, started_ms=2))

    def test_forgotten_in_time(self) -> None:
        """The limit of a process that is gone is not kept for good."""
        changes: list[StateChange] = []
        rates = TargetRates(
            HostLocation('host-1', 'dc-a', REGIONS), changes.append
        )
        target = KnownTarget(make_record('t-1'), cold_until=0)
        other = KnownTarget(make_record('t-2'), cold_until=0)
        rates.record_limit(target, 0.1, 0)
        rates.prune({other.process})
        self.assertEqual(rates.limited_count, 1)
        rates.record_sent(other, 3600)
        rates.prune({other.process})
        self.assertEqual(rates.limited_count, 0)
