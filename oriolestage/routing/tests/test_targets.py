"""Tests of the directory of registered targets."""

import unittest

from oriolestage.routing._targets import LAPSE_GRACE_PERIOD_S, TargetDirectory
from oriolestage.routing.tests.builders import make_record


def _names(directory: TargetDirectory, service: str = 'shard-0') -> list[str]:
    return [known.record.identity for known in directory.usable(service)]


class TargetDirectoryTest(unittest.TestCase):
    """Only targets that take new work are usable.

    A registration that lapses in an outage of the store must not remove a
    target that still runs.
    """

    def setUp(self) -> None:
        """Register two targets."""
        self._directory = TargetDirectory()
        self._directory.register(make_record('t-1'), 0)
        self._directory.register(make_record('t-2', data_centre='dc-b'), 0)

    def test_draining_and_closed(self) -> None:
        """Draining targets and those of closed data centres are not usable."""
        self._directory.register(make_record('t-1', draining=True), 1)
        self.assertEqual(_names(self._directory), ['t-2'])
        self._directory.replace_closed_data_centres(['dc-b'])
        self.assertEqual(_names(self._directory), [])
        self._directory.replace_closed_data_centres([])
        self.assertEqual(_names(self._directory), ['t-2'])

    def test_new_process(self) -> None:
        """A restarted target is a new one, and its local state is reset."""
        replaced = self._directory.find('t-1')
        self.assertIsNotNone(replaced)
        if replaced is not None:
            replaced.replaced = True
        same = make_record('t-1', warm_up_left_s=1)
        self.assertFalse(self._directory.register(same, 1))
        self.assertEqual(_names(self._directory), ['t-2'])
        self.assertTrue(
            self._directory.register(make_record('t-1', started_ms=2), 1),
        )
        self.assertEqual(sorted(_names(self._directory)), ['t-1', 't-2'])

    def test_moves_between_services(self) -> None:
        """A target that registers for another service leaves the first."""
        self._directory.register(make_record('t-1', service='other'), 1)
        self.assertEqual(_names(self._directory), ['t-2'])
        self.assertEqual(_names(self._directory, 'other'), ['t-1'])

    def test_removed_at_once(self) -> None:
        """A removal takes effect at once without an outage of the store."""
        self.assertTrue(self._directory.remove('t-1', 1))
        self.assertEqual(_names(self._directory), ['t-2'])

    def test_lapsed_registration_returns(self) -> None:
        """After an outage a missing target is kept, and stays if it returns."""
        self._directory.start_lapse_grace_period(10)
        missing = self._directory.replace_all([make_record('t-2')], 10)
        self.assertEqual(missing, ['t-1'])
        self.assertEqual(sorted(_names(self._directory)), ['t-1', 't-2'])
        self.assertEqual(
            self._directory.expire(10 + LAPSE_GRACE_PERIOD_S - 0.1), []
        )
        self._directory.register(make_record('t-1'), 11)
        self.assertEqual(self._directory.expire(10 + LAPSE_GRACE_PERIOD_S), [])

    def test_lapsed_registration_expires(self) -> None:
        """A target that does not return in the grace period is removed."""
        self._directory.start_lapse_grace_period(10)
        self._directory.replace_all([make_record('t-2')], 10)
        expired = self._directory.expire(10 + LAPSE_GRACE_PERIOD_S)
        self.assertEqual(expired, ['t-1'])
        self.assertEqual(_names(self._directory), ['t-2'])
