"""Tests of what a host believes of the store's facts."""

import unittest

from oriolestage.relay._facts import (
    DataCentreClosed,
    DataCentreOpened,
    HostRecord,
    HostRemoved,
    HostStored,
    TargetStored,
    Unreadable,
)
from oriolestage.relay._knowledge import HOST_KEPT_S, Knowledge
from oriolestage.relay._peers import PeerBook
from oriolestage.relay.tests.builders import (
    make_crash_watch,
    make_placement,
    make_record,
)


class KnowledgeTest(unittest.TestCase):
    """Facts add up, and what lapses is not dropped too early."""

    def setUp(self) -> None:
        """Know one other host."""
        self._placement, self._directory = make_placement()
        self._knowledge = Knowledge(
            self._directory,
            self._placement,
            PeerBook(self._placement.place),
            make_crash_watch(),
        )
        self._other = HostRecord('host-2', 'dc-b', 'b:1')
        self._knowledge.apply(HostStored(self._other), 0)

    def test_lapsed_hosts_share_on(self) -> None:
        """Shares do not grow while registrations lapse for a while."""
        self._knowledge.apply(HostRemoved('host-2'), 10)
        self._knowledge.expire_hosts(10 + HOST_KEPT_S / 2)
        self.assertEqual(self._placement.hosts, ('host-1', 'host-2'))
        self._knowledge.expire_hosts(10 + HOST_KEPT_S)
        self.assertEqual(self._placement.hosts, ('host-1',))

    def test_missing_in_a_reading(self) -> None:
        """A host that a whole reading lacks is kept for as long."""
        self._knowledge.replace_all((), 10)
        self.assertEqual(len(self._placement.hosts), 2)
        self._knowledge.apply(HostStored(self._other), 11)
        self._knowledge.expire_hosts(10 + HOST_KEPT_S)
        self.assertEqual(len(self._placement.hosts), 2)

    def test_closed_data_centres(self) -> None:
        """A reading replaces what single changes told."""
        self._knowledge.apply(DataCentreClosed('dc-a'), 0)
        self.assertEqual(self._directory.closed_data_centres, {'dc-a'})
        self._knowledge.apply(DataCentreOpened('dc-a'), 1)
        self.assertEqual(self._directory.closed_data_centres, frozenset())
        self._knowledge.replace_all((DataCentreClosed('dc-b'),), 2)
        self.assertEqual(self._directory.closed_data_centres, {'dc-b'})

    def test_unreadable_target(self) -> None:
        """A target whose entry became unreadable gets nothing more."""
        self._knowledge.apply(TargetStored(make_record('t-1')), 0)
        changes = self._knowledge.apply(Unreadable('k', 'bad', 't-1'), 1)
        self.assertEqual(len(changes), 1)
        self.assertIsNone(self._directory.find('t-1'))
        again = self._knowledge.apply(Unreadable('k', 'bad', 't-1'), 2)
        self.assertEqual(again, [])
