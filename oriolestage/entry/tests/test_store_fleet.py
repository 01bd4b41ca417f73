"""Tests of many hosts whose store is restored from a copy."""

import asyncio
import dataclasses
import random
import unittest

from oriolestage.entry._host_registration import (
    RENEWAL_INTERVAL_S,
    RENEWAL_JITTER,
    HostRegistration,
)
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
#: The limit of a deployment whose hosts pause for long after changes.
LONG_LIMIT_S = 8.0
#: Store calls that a recovery may take beyond a start, for each host.
EXTRA_CALLS = 3
#: Time over which the hosts of a fleet start, and after which they are settled,
#: in seconds.
START_S = 0.3
SETTLED_S = 10
#: Difference between the lengths of outages, in seconds.
OUTAGE_STEP_S = 0.1
#: Time for which the configuration changes without a pause, in seconds.
CHANGING_S = 20
#: Watches a second that all hosts together may make meanwhile.
LARGEST_WATCH_RATE = 120
#: Time for which the store is away while registrations lapse, and time after
#: its return at which the targets are back, in seconds.
AWAY_S = 6.0
RETURNED_S = 2.0
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


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCost:
    """What it costs a fleet to follow changes that never pause."""

    #: Store calls of all hosts in a second.
    calls_per_s: float
    #: Longest time until all hosts knew a change, in seconds.
    slowest_s: float


class _Host:
    """A host that follows the store and is registered there."""

    def __init__(
        self,
        store: ModelStore,
        name: str,
        limit_s: float = PROPAGATION_LIMIT_S,
    ) -> None:
        """Start a host with a propagation limit in seconds."""
        placement, directory = make_placement(name=name)
        client = ModelStoreClient(store)
        self.state = ClusterState(
            directory,
            placement,
            PeerDirectory(placement.location),
            make_crash_detector(),
        )
        self.follower = StoreFollower(client, self.state, directory, limit_s)
        registration = HostRegistration(
            client, HostRecord(name, 'dc-a', f'{name}:1')
        )
        self.directory = directory
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


async def _follow_after_outage(hosts: int, away_s: float) -> float:
    """Change the configuration when a silent store has returned.

    Return the time until all hosts know it, in seconds.
    """
    store = ModelStore()
    fleet: list[_Host] = []
    for number in range(hosts):
        fleet.append(_Host(store, f'host-{number}'))
        await asyncio.sleep(START_S / hosts)
    await asyncio.sleep(SETTLED_S)
    store.silent = True
    await asyncio.sleep(away_s)
    store.silent = False
    store.configure()
    recovery = await _until_agreed(store, fleet)
    _stop(fleet)
    return recovery.took_s


async def _follow_changes(hosts: int) -> ChangeCost:
    """Change the configuration often for `CHANGING_S`."""
    store = ModelStore()
    fleet = [_Host(store, f'host-{number}') for number in range(hosts)]
    await asyncio.sleep(SETTLED_S)
    store.calls = 0
    slowest_s: float = 0
    loop = asyncio.get_running_loop()
    end_at = loop.time() + CHANGING_S
    while loop.time() < end_at:
        store.configure()
        changed_at = loop.time()
        version = store.truth.version
        while any(_version(host) < version for host in fleet):
            await asyncio.sleep(STEP_S)
        slowest_s = max(slowest_s, loop.time() - changed_at)
    _stop(fleet)
    return ChangeCost(store.calls / CHANGING_S, slowest_s)


async def _lapse(hosts: int) -> bool:
    """Let registrations of targets lapse in an outage of the store.

    The targets register again `RETURNED_S` after its return. Return whether
    some host stops using one of them meanwhile.
    """
    store = ModelStore()
    names = [f't-{number}' for number in range(4)]
    for name in names:
        store.register(name, draining=False)
    fleet = [
        _Host(store, f'host-{number}', LONG_LIMIT_S) for number in range(hosts)
    ]
    await asyncio.sleep(SETTLED_S)
    store.silent = True
    await asyncio.sleep(AWAY_S)
    store.lapse_targets()
    store.silent = False
    loop = asyncio.get_running_loop()
    returned_at = loop.time()
    dropped = False
    while loop.time() < returned_at + SETTLED_S:
        await asyncio.sleep(STEP_S)
        if loop.time() >= returned_at + RETURNED_S:
            store.write_again()
        else:
            # Changes after which the hosts pause.
            store.configure()
        dropped |= any(
            host.directory.find(name) is None
            for host in fleet
            for name in names
        )
    _stop(fleet)
    return dropped


def _version(host: _Host) -> int:
    table = host.state.table
    return -1 if table is None else table.version


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

    def test_change_after_silence(self) -> None:
        """Calls that are lost in an outage do not hide a change after it.

        The outages differ in length, so that the calls of some hosts are
        sent in the last moments of each.
        """
        for step in range(1, 34):
            away_s = step * OUTAGE_STEP_S
            random.seed(step)
            with self.subTest(away_s=away_s):
                took_s = run_in_virtual_time(
                    VirtualTimeLoop(), _follow_after_outage(6, away_s)
                )
                self.assertLessEqual(took_s, PROPAGATION_LIMIT_S)

    def test_calls_while_changes_come(self) -> None:
        """Guards against calls that grow with the hosts times the changes."""
        for hosts in (6, 89):
            cost = run_in_virtual_time(
                VirtualTimeLoop(), _follow_changes(hosts)
            )
            renewals = hosts / RENEWAL_INTERVAL_S / RENEWAL_JITTER[0]
            with self.subTest(hosts=hosts):
                self.assertLessEqual(
                    cost.calls_per_s, LARGEST_WATCH_RATE + renewals
                )
                self.assertLessEqual(cost.slowest_s, PROPAGATION_LIMIT_S / 4)

    def test_lapsed_targets(self) -> None:
        """Targets that return within 2 s of the store are used throughout."""
        for hosts in (6, 195):
            random.seed(hosts)
            with self.subTest(hosts=hosts):
                self.assertFalse(
                    run_in_virtual_time(VirtualTimeLoop(), _lapse(hosts))
                )

    def test_calls(self) -> None:
        """A recovery takes few calls more than the start of a fleet."""
        hosts = 89
        random.seed(7)
        started = run_in_virtual_time(VirtualTimeLoop(), _start(hosts))
        recovered = self._recover(hosts).calls
        self.assertLessEqual((recovered - started.calls) / hosts, EXTRA_CALLS)
