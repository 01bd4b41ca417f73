"""Runs a scenario on decision cores, with simulated time and a random seed."""

import json
import random
from collections.abc import Callable

from oriolestage.core import Identity, NodeCore, Parameters
from scenarios.fake_callers import FakeCallers
from scenarios.fake_operators import FakeOperators
from scenarios.fake_store import FakeStore
from scenarios.fake_target import FakeTarget
from scenarios.observations import Observations
from scenarios.simulated_network import (
    SAME_DATA_CENTRE_DELAY_S,
    SimulatedNetwork,
)
from scenarios.simulation import CoreHost, Simulation
from scenarios.steps import (
    Action,
    CrashRequest,
    Cut,
    Freeze,
    Heal,
    Kill,
    Operate,
    Scenario,
    Start,
    Stop,
    StoreFault,
    TargetEvent,
    TargetKeys,
    TargetSign,
    TargetVersions,
    Thaw,
)
from trial.layout import GOSSIP_PORT, association, franchise, make_layout

#: Wall-clock time at simulated time 0, in milliseconds since the epoch.
WALL_CLOCK_START_MS = 1_700_000_000_000
#: Time between the start of the hosts and that of the scenario, in seconds.
WARM_UP_S = 3.0
#: Delay until a change shows in the host list, in seconds.
HOST_LIST_LAG_S = 1.0
#: Time between checks whether a stopping host is drained, in seconds.
DRAIN_POLL_INTERVAL_S = 0.05
#: Time that a stopping host keeps serving, in seconds. Within it the
#: balancer notices that the host is no longer ready.
STOP_NOTICE_S = 1.0


class CoreEngine:
    """Runs one scenario on simulated hosts, targets, store and callers."""

    def __init__(self, scenario: Scenario, parameters: Parameters, seed: int):
        """Set up the simulation; ``parameters`` apply to every core."""
        self.scenario = scenario
        spec_factories = {'association': association, 'franchise': franchise}
        users = [
            spec_factories[name](scenario.services) for name in scenario.users
        ]
        simulation = Simulation(make_layout(users, scenario.hosts), seed)
        self._simulation = simulation
        self.store = FakeStore(simulation.call_later)
        self.targets = {
            placed.target.name: FakeTarget(
                placed,
                simulation.random,
                simulation.call_later,
                simulation.scenario_time,
                simulation.observations,
            )
            for placed in simulation.layout.targets
        }
        self.callers = FakeCallers(simulation)
        self.operators = FakeOperators(simulation)
        self._network = SimulatedNetwork(
            simulation,
            self.store,
            self.targets,
            self.callers,
        )
        simulation.execute_effect = self._network.execute_effect
        self._parameters = parameters
        self._listed_leaving: set[str] = set()

    @property
    def simulation(self) -> Simulation:
        """Return the simulation with clock, hosts and observations."""
        return self._simulation

    def run(self) -> Observations:
        """Run the scenario after a warm-up and return the observations.

        The configuration is applied during the warm-up.
        """
        self._publish_hosts()
        for name in self._simulation.hosts:
            self._start_host(name)
        self._simulation.run_until(WARM_UP_S / 2)
        self.operators.apply_document(self._simulation.layout.configuration)
        self._simulation.run_until(WARM_UP_S)
        self._simulation.begin_scenario()
        for step in self.scenario.steps:
            self._simulation.call_later(
                step.at_s, self._action_callback(step.action)
            )
        self.callers.start(self.scenario)
        self._simulation.run_until(self.scenario.end_s)
        self.callers.stop()
        # The last retries of callers end within this time.
        self._simulation.run_until(self.scenario.end_s + 2 * WARM_UP_S)
        self._record_final_revisions()
        return self._simulation.observations

    def _start_host(self, name: str) -> None:
        host = self._simulation.hosts[name]
        placed = next(
            placed
            for placed in self._simulation.layout.hosts
            if placed.name == name
        )
        address = placed.address(GOSSIP_PORT)
        host.start_count += 1
        host.frozen = False
        host.core = NodeCore(
            Identity(
                name=name,
                gossip_address=address,
                data_address=address,
                data_centre=host.data_centre,
                incarnation=WALL_CLOCK_START_MS
                + int(self._simulation.now * 1000),
            ),
            self._parameters,
            random.Random(self._simulation.random.getrandbits(64)),
            self._simulation.now,
            seeds=tuple(
                other.address(GOSSIP_PORT)
                for other in self._simulation.layout.hosts
            ),
        )
        host.core.start()
        self._simulation.process_effects(host)

    def kill_host(self, host: CoreHost) -> None:
        """End a process; callers and peers lose their connections to it."""
        core = host.core
        host.core = None
        host.deferred.clear()
        host.wakeup = float('inf')
        for other in self._simulation.hosts.values():
            peer = other.core
            if core is not None and peer is not None:
                self._simulation.call_later(
                    SAME_DATA_CENTRE_DELAY_S,
                    self._peer_loss_callback(host.name, other, peer),
                )
        self.callers.on_host_lost(host.name)

    def _peer_loss_callback(
        self,
        name: str,
        other: CoreHost,
        peer: NodeCore,
    ) -> Callable[[], None]:
        return lambda: self._simulation.run_on_host(
            other,
            peer,
            lambda: peer.on_peer_lost(self._simulation.now, name),
        )

    def _drain(self, host: CoreHost, serve_until: float) -> None:
        core = host.core
        if core is None:
            return
        if self._simulation.now >= serve_until and core.drained:
            self._simulation.observations.cut_by_stop += (
                self.callers.count_waiting(host.name)
            )
            self.kill_host(host)
            return
        self._simulation.call_later(
            DRAIN_POLL_INTERVAL_S,
            lambda: self._drain(host, serve_until),
        )

    def _action_callback(self, action: Action) -> Callable[[], None]:
        return lambda: self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case Kill(name=name) if name in self._simulation.hosts:
                self.kill_host(self._simulation.hosts[name])
            case Kill(name=name):
                self.targets[name].crash()
            case Start(name=name) if name in self._simulation.hosts:
                self._start_host(name)
            case Start(name=name):
                self.targets[name].restart()
            case Stop(name=name):
                self._stop_host(self._simulation.hosts[name])
            case Freeze(name=name):
                self._simulation.hosts[name].frozen = True
            case Thaw(name=name):
                self._thaw(self._simulation.hosts[name])
            case Cut():
                self._network.cut(action)
            case Heal():
                self._network.heal(action)
            case StoreFault():
                self.store.apply_fault(action)
            case Operate():
                self.operators.execute(action)
            case CrashRequest(times=times):
                self.callers.send_crash_request(times)
            case _:
                self._change_targets(action)

    def _change_targets(
        self,
        action: TargetEvent | TargetVersions | TargetKeys,
    ) -> None:
        names = [action.name]
        if action.name == 'all':
            names = list(self.targets)
        for name in names:
            target = self.targets[name]
            match action:
                case TargetEvent(sign=TargetSign.LISTED):
                    self._listed_leaving.add(name)
                    self._publish_hosts()
                case TargetEvent(sign=sign):
                    target.apply_event(sign)
                case TargetVersions(versions=versions):
                    target.versions = versions
                case TargetKeys(start=start, end=end):
                    target.keys = type(target.keys)(start, end)
                    target.partition_revision = action.partition_revision

    def _stop_host(self, host: CoreHost) -> None:
        core = host.core
        if core is None:
            return
        core.stop(self._simulation.now)
        self._simulation.process_effects(host)
        self._drain(host, self._simulation.now + STOP_NOTICE_S)

    def _thaw(self, host: CoreHost) -> None:
        host.frozen = False
        deferred = host.deferred
        host.deferred = []
        for event in deferred:
            event()

    def _publish_hosts(self) -> None:
        hosts = [
            {
                'name': host.name,
                'kind': 'entry',
                'address': host.address(GOSSIP_PORT),
                'data_centre': host.data_centre,
            }
            for host in self._simulation.layout.hosts
        ]
        targets = [
            {
                'name': placed.target.name,
                'kind': 'target',
                'address': placed.target.address,
                'data_centre': placed.target.data_centre,
                'leaving': placed.target.name in self._listed_leaving,
            }
            for placed in self._simulation.layout.targets
        ]
        content = json.dumps({'hosts': hosts + targets}).encode()
        lag_s = HOST_LIST_LAG_S if self._simulation.now else 0

        def publish() -> None:
            self.store.host_list = content

        self._simulation.call_later(lag_s, publish)

    def _record_final_revisions(self) -> None:
        for host in self._simulation.hosts.values():
            if host.core is not None and not host.frozen:
                revision = host.core.configuration.revision
                self._simulation.observations.final_revisions[host.name] = (
                    revision
                )
