"""Tests of the choice of hosts in other regions."""

import unittest
from collections import Counter

from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import (
    BEHIND_S,
    MAX_PEERS_PER_REGION,
    PEERS_PER_REGION,
    LinkState,
    PeerDirectory,
    PeerState,
)
from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._state_changes import Freshness
from oriolestage.routing.tests.builders import REGIONS

#: Freshness of this host's copy of the store.
OWN_FRESHNESS = Freshness(revision=9, age_s=0.1)


class PeerDirectoryTest(unittest.TestCase):
    """The available host with the least expected overhead is chosen."""

    def setUp(self) -> None:
        """Register two hosts of another region and one of this one."""
        self._peers = PeerDirectory(HostLocation('host-1', 'dc-a', REGIONS))
        self._peers.replace_hosts(
            HostRecord(name, data_centre, f'{name}:1')
            for name, data_centre in (
                ('host-1', 'dc-a'),
                ('near', 'dc-a'),
                ('far-1', 'dc-b'),
                ('far-2', 'dc-b'),
            )
        )

    def _record_link(
        self,
        name: str,
        heard_at: float,
        now: float,
        freshness: Freshness | None = OWN_FRESHNESS,
    ) -> PeerState | None:
        link = LinkState(heard_at, freshness)
        return self._peers.record_link_state(
            f'{name}:1', link, OWN_FRESHNESS, now
        )

    def _choose(self) -> str:
        chosen = self._peers.choose('region-b')
        return '' if chosen is None else chosen.name

    def test_remote_addresses(self) -> None:
        """Streams are kept to hosts of other regions only."""
        self.assertEqual(
            self._peers.remote_addresses(),
            {'far-1:1', 'far-2:1'},
        )

    def test_own_region(self) -> None:
        """One stream is kept in the own region, more while hosts are cut off.

        A host that does not reach targets needs another one that does.
        """
        self._peers.replace_hosts(
            HostRecord(f'near-{number}', 'dc-a', f'near-{number}:1')
            for number in range(8)
        )
        for expected in range(1, MAX_PEERS_PER_REGION + 1):
            connected = self._peers.own_region_addresses()
            self.assertEqual(len(connected), expected)
            for address in connected:
                link = LinkState(10, OWN_FRESHNESS, cut_off=True)
                self._peers.record_link_state(address, link, OWN_FRESHNESS, 10)
        self.assertEqual(
            len(self._peers.own_region_addresses()), MAX_PEERS_PER_REGION
        )
        self.assertIsNone(self._peers.choose('region-a'))

    def test_streams_are_limited(self) -> None:
        """Silent hosts get a substitute, up to the limit of streams."""
        self._peers.replace_hosts(
            HostRecord(f'far-{number}', 'dc-b', f'far-{number}:1')
            for number in range(40)
        )
        connected = self._peers.remote_addresses()
        self.assertEqual(len(connected), PEERS_PER_REGION)
        silent = sorted(connected)[0].removesuffix(':1')
        self._peers.record_silent(silent, 1)
        self.assertEqual(
            len(self._peers.remote_addresses()),
            PEERS_PER_REGION + 1,
        )
        for address in self._peers.remote_addresses():
            self._peers.record_silent(address.removesuffix(':1'), 1)
        for _ in range(9):
            self._peers.remote_addresses()
        self.assertLessEqual(
            len(self._peers.remote_addresses()), MAX_PEERS_PER_REGION
        )

    def test_streams_are_balanced(self) -> None:
        """No host gets much more than the mean number of streams."""
        records = [
            HostRecord(f'far-{number}', 'dc-b', f'far-{number}:1')
            for number in range(30)
        ]
        streams: Counter[str] = Counter()
        for number in range(60):
            directory = PeerDirectory(
                HostLocation(f'host-{number}', 'dc-a', REGIONS)
            )
            directory.replace_hosts(records)
            streams.update(directory.remote_addresses())
        mean = 60 * PEERS_PER_REGION / len(records)
        self.assertLess(max(streams.values()), 3 * mean)

    def test_outstanding_request(self) -> None:
        """A host with an outstanding request is not chosen first."""
        first = self._choose()
        self._peers.record_sent(first)
        self.assertNotEqual(self._choose(), first)

    def test_slow_host(self) -> None:
        """A host with slow replies is avoided until its overhead decays."""
        for _ in range(5):
            self._peers.record_reply('far-1', 0.2)
        for _ in range(8):
            self.assertEqual(self._choose(), 'far-2')
            self._peers.record_sent('far-2')
        for step in range(80):
            self._record_link('far-1', step, step)
        self.assertEqual(self._choose(), 'far-1')

    def test_silent_host(self) -> None:
        """A silent host is skipped until data arrives on its stream."""
        self._peers.record_silent('far-1', 10)
        self._peers.record_silent('far-2', 10)
        self.assertEqual(self._choose(), '')
        self.assertIsNone(self._record_link('far-2', 9.9, 10.1))
        self.assertEqual(self._choose(), '')
        self.assertEqual(
            self._record_link('far-2', 10.3, 10.5), PeerState.HEARD
        )
        self.assertEqual(self._choose(), 'far-2')
        self.assertEqual(self._record_link('far-2', 10.3, 12), PeerState.SILENT)
        self.assertEqual(self._choose(), '')

    def test_host_behind(self) -> None:
        """A host that lost the store and lacks a revision is skipped."""
        old = Freshness(OWN_FRESHNESS.revision - 1, BEHIND_S + 1)
        self.assertEqual(
            self._record_link('far-1', 1, 1, old), PeerState.BEHIND
        )
        self.assertEqual(
            self._record_link('far-2', 1, 1, old), PeerState.BEHIND
        )
        self.assertEqual(self._choose(), '')
        self.assertEqual(self._record_link('far-2', 2, 2), PeerState.HEARD)
        self.assertEqual(self._choose(), 'far-2')

    def test_host_without_store(self) -> None:
        """A host that started in an outage of the store is skipped."""
        unread = Freshness(revision=0, age_s=0.2)
        self.assertEqual(
            self._record_link('far-1', 1, 1, unread), PeerState.BEHIND
        )
        self.assertEqual(self._choose(), 'far-2')

    def test_host_of_earlier_era(self) -> None:
        """Revisions of before a restoration of the store say nothing.

        A host that had missed the restoration got batches, because its old
        revision was above the present ones.
        """
        own = Freshness(102, 0.1, era=2)
        cases = (
            (Freshness(104, BEHIND_S + 1, era=1), True),
            (Freshness(104, 0.2, era=1), False),
            (Freshness(90, BEHIND_S + 1, era=3), False),
            (Freshness(101, BEHIND_S + 1, era=2), True),
            (Freshness(104, BEHIND_S + 1), False),
            (Freshness(0, 0.2), True),
            (Freshness(0, 0.2, era=3), True),
        )
        for other, behind in cases:
            with self.subTest(other=other):
                self.setUp()
                state = self._peers.record_link_state(
                    'far-1:1', LinkState(1, other), own, 1
                )
                self.assertEqual(state == PeerState.BEHIND, behind)

    def test_not_behind(self) -> None:
        """A host that lacks nothing, or lags only briefly, is not behind."""
        for name, freshness in (
            ('same revision', Freshness(OWN_FRESHNESS.revision, 60)),
            ('short delay', Freshness(OWN_FRESHNESS.revision - 1, 0.2)),
            ('not reported yet', None),
        ):
            with self.subTest(name):
                self.assertIsNone(self._record_link('far-1', 1, 1, freshness))
