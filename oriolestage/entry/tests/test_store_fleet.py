"""Tests of many hosts whose store is restored from a copy."""

import asyncio
import dataclasses
import random
import unittest

from oriolestage.entry._host_registration import HostRegistration
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.entry.tests.model_store import ModelStore, ModelStoreClient
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
)

PROPAGATION_LIMIT_S = 5.0
#: Store calls that a recovery may take beyond a start, for each host.
EXTRA_CALLS = 3
#: Time over which the hosts of a fleet start, and after which they are settled,
#: in seconds.
START_S = 0.3
SETTLED_S = 10
#: Interval of checks, in seconds.
STEP_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """How a fleet got over a restoration of its store."""

    #: Time from the restoration until all hosts agree with the store and are
    #: registered there, in seconds.
    took_s: float
    #: Store calls of all hosts in that time.
    calls: int


class _Host:
    """A host that follows the store and is registered there."""

    def __init__(self, store: ModelStore, name: str) -> None:
        """Start a host."""
        placement, directory = make_placement(name=name)
        client = ModelStoreClient(store)
        self.state = ClusterState(
            directory,
            placement,
            PeerDirectory(placement.location),
            make_crash_detector(),
        )
        self.follower = StoreFollower(
            client, self.state, directory, PROPAGATION_LIMIT_S
        )
        registration = HostRegistration(
            client, HostRecord(name, 'dc-a', f'{name}:1')
        )
        self.tasks = [
            asyncio.create_task(work())
            for work in (
                self.follower.run,
                self.follower.expire,
                registration.run,
            )
        ]

    def agrees(self, store: ModelStore) -> bool:
        """Return whether it has read the present era and configuration."""
        table = self.state.table
        return (
            self.follower.freshness.era == store.era
            and table is not None
            and table.version == store.truth.version
        )


async def _start(hosts: int) -> Recovery:
    """Start a fleet within `START_S`, until its hosts agree."""
    store = ModelStore()
    fleet: list[_Host] = []
    for number in range(hosts):
        fleet.append(_Host(store, f'host-{number}'))
        await asyncio.sleep(START_S / hosts)
    recovery = await _until_agreed(store, fleet)
    _stop(fleet)
    return recovery


async def _recover(hosts: int, away_s: float) -> Recovery:
    """Restore the store of a fleet, after it was away for a time.

    The copy is older than the registrations of the hosts.
    """
    store = ModelStore()
    fleet = [_Host(store, f'host-{number}') for number in range(hosts)]
    await asyncio.sleep(SETTLED_S)
    store.content.leases.clear()
    store.content.hosts.clear()
    store.take_copy()
    for _ in range(3):
        store.configure()
    await asyncio.sleep(1)
    store.silent = away_s > 0
    await asyncio.sleep(away_s)
    store.silent = False
    store.calls = 0
    store.restore()
    store.write_again()
    recovery = await _until_agreed(store, fleet)
    _stop(fleet)
    return recovery


async def _until_agreed(store: ModelStore, fleet: list[_Host]) -> Recovery:
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while not (
        all(host.agrees(store) for host in fleet)
        and len(store.registered_hosts) == len(fleet)
    ):
        await asyncio.sleep(STEP_S)
    return Recovery(loop.time() - began_at, store.calls)


def _stop(fleet: list[_Host]) -> None:
    for host in fleet:
        for task in host.tasks:
            task.cancel()


class FleetRecoveryTest(unittest.TestCase):
    """All hosts agree with a restored store soon, without many calls."""

    def _recover(self, hosts: int, away_s: float = 0) -> Recovery:
        random.seed(7)
        return run_in_virtual_time(VirtualTimeLoop(), _recover(hosts, away_s))

    def test_six_hosts(self) -> None:
        """Six hosts agree within 2 s."""
        self.assertLessEqual(self._recover(6).took_s, 2.0)

    def test_89_hosts(self) -> None:
        """As many as the larger deployment has agree within 4 s."""
        self.assertLessEqual(self._recover(89).took_s, 4.0)

    def test_silent_before(self) -> None:
        """They do so too if the store is silent before it returns."""
        self.assertLessEqual(self._recover(6, 1.0).took_s, 2.0)
        self.assertLessEqual(self._recover(89, 1.0).took_s, 4.0)

    def test_calls(self) -> None:
        """A recovery takes few calls more than the start of a fleet."""
        hosts = 89
        random.seed(7)
        started = run_in_virtual_time(VirtualTimeLoop(), _start(hosts))
        recovered = self._recover(hosts).calls
        self.assertLessEqual((recovered - started.calls) / hosts, EXTRA_CALLS)
