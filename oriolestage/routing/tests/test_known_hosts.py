"""Tests of the hosts that one host knows."""

import unittest

from oriolestage.routing._facts import HostRecord
from oriolestage.routing._known_hosts import HOST_RETENTION_S, KnownHosts
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing.tests.builders import make_placement

REMOVED_AT = 5.0


class KnownHostsTest(unittest.TestCase):
    """A host is known for a while after its registration has ended."""

    def test_records_after_removal(self) -> None:
        """Guards against two owners of one quota.

        Hosts that are cut off from the store keep the registrations that
        the others see end, and count for the same owner.
        """
        placement, _ = make_placement()
        hosts = KnownHosts(placement, PeerDirectory(placement.location))
        record = HostRecord('host-2', 'dc-a', '10.0.0.2:1')
        hosts.register(record, 0)
        hosts.unregister('host-2', REMOVED_AT)
        hosts.expire(REMOVED_AT + HOST_RETENTION_S - 1)
        self.assertEqual(dict(hosts.records), {'host-2': record})
        hosts.expire(REMOVED_AT + HOST_RETENTION_S)
        self.assertEqual(dict(hosts.records), {})
