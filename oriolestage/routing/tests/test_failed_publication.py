"""Tests of hosts whose publication to other parts fails."""

from collections.abc import Callable
from unittest import TestCase, mock

from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import (
    HostRecord,
    HostStored,
    StoredFact,
    TargetStored,
)
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
    make_record,
)

FACT = HostStored(HostRecord('host-2', 'dc-a', '10.0.0.2:1'))
TARGET = TargetStored(make_record('t-2'))


class FailedPublicationTest(TestCase):
    """Guards against a host that is never counted after one error.

    The hosts that count it and those that do not divide limits differently.
    """

    def setUp(self) -> None:
        """Create the state of a host that knows no other."""
        self._placement, self._directory = make_placement()
        self._state = ClusterState(
            self._directory,
            self._placement,
            PeerDirectory(self._placement.location),
            make_crash_detector(),
        )

    def test_change(self) -> None:
        """A host whose registration failed to be applied is counted later."""
        self._fail_once(lambda: self._state.apply(FACT, 1))
        self._state.expire(2)
        self.assertIn('host-2', self._placement.hosts)

    def test_full_read(self) -> None:
        """The targets of a full read are known although the hosts failed."""
        facts: tuple[StoredFact, ...] = (FACT, TARGET)
        self._fail_once(lambda: self._state.replace_all(facts, 1))
        self.assertIsNotNone(self._directory.find('t-2'))
        self._state.expire(2)
        self.assertIn('host-2', self._placement.hosts)

    def test_expiry(self) -> None:
        """A host that is gone is not counted although an error came first."""
        self._state.apply(FACT, 1)
        self._state.replace_all((), 2)
        self._fail_once(lambda: self._state.expire(100))
        self._state.expire(101)
        self.assertNotIn('host-2', self._placement.hosts)

    def _fail_once(self, act: Callable[[], object]) -> None:
        """Call ``act`` while the limits cannot be divided anew."""
        error = ValueError('unforeseen')
        with mock.patch.object(Placement, 'replace_hosts', side_effect=error):
            act()
