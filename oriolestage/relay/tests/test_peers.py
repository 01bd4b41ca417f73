"""Tests of the choice of other hosts."""

import unittest
from collections import Counter

from oriolestage.relay._state_changes import Freshness
from oriolestage.relay._facts import HostRecord
from oriolestage.relay._peers import (
    BEHIND_S,
    PEERS_PER_REGION,
    MAX_PEERS_PER_REGION,
    LinkState,
    PeerDirectory,
    PeerState,
)
from oriolestage.relay._placement_types import HostLocation
from oriolestage.relay.tests.builders import REGIONS

#: What this host knows of the store.
KNOWN = Freshness(revision=9, age_s=0.1)


class PeerDirectoryTest(unittest.TestCase):
    """Quick hosts that are heard gather for this one."""

    def setUp(self) -> None:
        """Know two hosts of another region and one of this one."""
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

    def _hear(
        self,
        name: str,
        heard_at: float,
        now: float,
        freshness: Freshness | None = KNOWN,
    ) -> PeerState | None:
        link = LinkState(heard_at, freshness)
        return self._peers.record_link_state(f'{name}:1', link, KNOWN, now)

    def _choose(self) -> str:
        chosen = self._peers.choose('region-b')
        return '' if chosen is None else chosen.name

    def test_far_addresses(self) -> None:
        """Streams are kept to hosts of other regions only."""
        self.assertEqual(
            self._peers.remote_addresses(),
            {'far-1:1', 'far-2:1'},
        )

    def test_few_links(self) -> None:
        """Streams do not grow with the hosts, and avoid silent ones."""
        self._peers.replace_hosts(
            HostRecord(f'far-{number}', 'dc-b', f'far-{number}:1')
            for number in range(40)
        )
        linked = self._peers.remote_addresses()
        self.assertEqual(len(linked), PEERS_PER_REGION)
        silent = sorted(linked)[0].removesuffix(':1')
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

    def test_links_are_spread(self) -> None:
        """No host is linked to by many more than its share of others."""
        records = [
            HostRecord(f'far-{number}', 'dc-b', f'far-{number}:1')
            for number in range(30)
        ]
        links: Counter[str] = Counter()
        for number in range(60):
            book = PeerDirectory(
                HostLocation(f'host-{number}', 'dc-a', REGIONS)
            )
            book.replace_hosts(records)
            links.update(book.remote_addresses())
        mean = 60 * PEERS_PER_REGION / len(records)
        self.assertLess(max(links.values()), 3 * mean)

    def test_spread(self) -> None:
        """A host with a request on its way is not asked first."""
        first = self._choose()
        self._peers.record_sent(first)
        self.assertNotEqual(self._choose(), first)

    def test_slow_host(self) -> None:
        """A host with slow replies is asked last, and again later."""
        for _ in range(5):
            self._peers.record_reply('far-1', 0.2)
        for _ in range(8):
            self.assertEqual(self._choose(), 'far-2')
            self._peers.record_sent('far-2')
        for step in range(80):
            self._hear('far-1', step, step)
        self.assertEqual(self._choose(), 'far-1')

    def test_silent_host(self) -> None:
        """A silent host is left alone until its stream is heard."""
        self._peers.record_silent('far-1', 10)
        self._peers.record_silent('far-2', 10)
        self.assertEqual(self._choose(), '')
        self.assertIsNone(self._hear('far-2', 9.9, 10.1))
        self.assertEqual(self._choose(), '')
        self.assertEqual(self._hear('far-2', 10.3, 10.5), PeerState.HEARD)
        self.assertEqual(self._choose(), 'far-2')
        self.assertEqual(self._hear('far-2', 10.3, 12), PeerState.SILENT)
        self.assertEqual(self._choose(), '')

    def test_host_behind(self) -> None:
        """A host that lost the store and lacks a change is not asked."""
        old = Freshness(KNOWN.revision - 1, BEHIND_S + 1)
        self.assertEqual(self._hear('far-1', 1, 1, old), PeerState.BEHIND)
        self.assertEqual(self._hear('far-2', 1, 1, old), PeerState.BEHIND)
        self.assertEqual(self._choose(), '')
        self.assertEqual(self._hear('far-2', 2, 2), PeerState.HEARD)
        self.assertEqual(self._choose(), 'far-2')

    def test_host_without_knowledge(self) -> None:
        """A host that started while the store was away is not asked."""
        nothing = Freshness(revision=0, age_s=0.2)
        self.assertEqual(self._hear('far-1', 1, 1, nothing), PeerState.BEHIND)
        self.assertEqual(self._choose(), 'far-2')

    def test_not_behind(self) -> None:
        """Nothing is missed while nothing changes, or for a moment."""
        for name, freshness in (
            ('nothing changed', Freshness(KNOWN.revision, 60)),
            ('on its way', Freshness(KNOWN.revision - 1, 0.2)),
            ('not told yet', None),
        ):
            with self.subTest(name):
                self.assertIsNone(self._hear('far-1', 1, 1, freshness))
