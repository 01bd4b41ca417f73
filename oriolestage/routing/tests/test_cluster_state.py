"""Tests of applying facts from the store to the cluster state."""

import unittest

from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import (
    ConfigurationStored,
    DataCentreClosed,
    DataCentreOpened,
    HostRecord,
    HostRemoved,
    HostStored,
    TargetRemoved,
    TargetStored,
    UnreadableItem,
)
from oriolestage.routing._known_hosts import HOST_RETENTION_S
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._rules import CallerLimits, build_table
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
    make_record,
)


class ClusterStateTest(unittest.TestCase):
    """Single changes and full reads update hosts, targets and data centres.

    Hosts whose registration lapses for a moment must not be dropped: the
    remaining hosts would raise their shares of the limits too early.
    """

    def setUp(self) -> None:
        """Register one other host."""
        self._placement, self._directory = make_placement()
        self._state = ClusterState(
            self._directory,
            self._placement,
            PeerDirectory(self._placement.location),
            make_crash_detector(),
        )
        self._other = HostRecord('host-2', 'dc-b', 'b:1')
        self._state.apply(HostStored(self._other), 0)

    def test_unregistered_host_is_retained(self) -> None:
        """An unregistered host shares the limits for the retention time."""
        self._state.apply(HostRemoved('host-2'), 10)
        self._state.expire(10 + HOST_RETENTION_S / 2)
        self.assertEqual(self._placement.hosts, ('host-1', 'host-2'))
        self._state.expire(10 + HOST_RETENTION_S)
        self.assertEqual(self._placement.hosts, ('host-1',))

    def test_listed_hosts(self) -> None:
        """A host finds itself only if its own record is registered."""
        hosts = self._state.hosts
        self.assertTrue(hosts.lists(self._other))
        self.assertFalse(hosts.lists(HostRecord('host-2', 'dc-b', 'b:2')))
        self.assertFalse(hosts.lists(HostRecord('host-3', 'dc-b', 'b:1')))
        self._state.apply(HostRemoved('host-2'), 10)
        self.assertFalse(hosts.lists(self._other))
        self._state.apply(HostStored(self._other), 11)
        self.assertTrue(hosts.lists(self._other))
        self._state.replace_all((), 12)
        self.assertFalse(hosts.lists(self._other))

    def test_host_missing_in_full_read(self) -> None:
        """A host missing in a full read is kept, and stays if it returns."""
        self._state.replace_all((), 10)
        self.assertEqual(len(self._placement.hosts), 2)
        self._state.apply(HostStored(self._other), 11)
        self._state.expire(10 + HOST_RETENTION_S)
        self.assertEqual(len(self._placement.hosts), 2)

    def test_hosts_of_full_read_are_published_once(self) -> None:
        """Guards against work that grows with the square of the hosts.

        Each publication ranks all hosts, and a host that starts reads them.
        """
        records = [
            HostRecord(f'host-{number}', 'dc-a', f'{number}:1')
            for number in range(50)
        ]
        changes = self._state.replace_all(map(HostStored, records), 1)
        published = [
            change for change in changes if change.event == 'hosts_known'
        ]
        self.assertEqual(len(published), 1)
        self.assertEqual(len(self._placement.hosts), 50)

    def test_closed_data_centres(self) -> None:
        """A full read replaces the closed data centres of single changes."""
        self._state.apply(DataCentreClosed('dc-a'), 0)
        self.assertEqual(self._directory.closed_data_centres, {'dc-a'})
        self._state.apply(DataCentreOpened('dc-a'), 1)
        self.assertEqual(self._directory.closed_data_centres, frozenset())
        self._state.replace_all((DataCentreClosed('dc-b'),), 2)
        self.assertEqual(self._directory.closed_data_centres, {'dc-b'})

    def test_unreadable_target(self) -> None:
        """A target whose registration cannot be parsed is removed."""
        self._state.apply(TargetStored(make_record('t-1')), 0)
        changes = self._state.apply(UnreadableItem('k', 'bad', 't-1'), 1)
        self.assertEqual(len(changes), 1)
        self.assertIsNone(self._directory.find('t-1'))
        again = self._state.apply(UnreadableItem('k', 'bad', 't-1'), 2)
        self.assertEqual(again, [])

    def test_target_unreadable_again(self) -> None:
        """Guards against using a target whose entry is unreadable again.

        The same problem was known from before its entry was valid.
        """
        unreadable = UnreadableItem('k', 'bad', 't-1')
        for now in range(3):
            self._state.apply(TargetStored(make_record('t-1')), 2 * now)
            changes = self._state.apply(unreadable, 2 * now + 1)
            self.assertEqual(len(changes), 1)
            self.assertIsNone(self._directory.find('t-1'))
            self.assertEqual(self._state.unreadable_count, 1)

    def test_unreadable_items_are_forgotten(self) -> None:
        """Items that are removed or no longer listed are not counted."""
        for number in range(4):
            identity = f't-{number}'
            fact = UnreadableItem(f'k-{number}', 'bad', identity)
            self._state.apply(fact, 1)
        self._state.apply(TargetRemoved('t-0'), 2)
        self.assertEqual(self._state.unreadable_count, 3)
        self._state.replace_all((UnreadableItem('k-1', 'bad', 't-1'),), 3)
        self.assertEqual(self._state.unreadable_count, 1)

    def test_configuration_unreadable_again(self) -> None:
        """Each time that the configuration cannot be parsed is logged."""
        unreadable = UnreadableItem('configuration', 'bad')
        for version in range(3):
            table = build_table(version, (), (), CallerLimits())
            self._state.apply(ConfigurationStored(table), version)
            self.assertEqual(len(self._state.apply(unreadable, version)), 1)
            self.assertEqual(self._state.apply(unreadable, version), [])
            self.assertEqual(self._state.table, table)
