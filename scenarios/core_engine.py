"""Runs scenarios on decision cores with injected time and seeds."""

import json
import random
from collections.abc import Callable

from oriolestage.core import Identity, NodeCore, Parameters
from scenarios.core_network import NEAR_S, CoreNetwork
from scenarios.core_world import CoreHost, CoreWorld
from scenarios.fake_callers import FakeCallers
from scenarios.fake_operators import FakeOperators
from scenarios.fake_store import FakeStore
from scenarios.fake_target import FakeTarget
from scenarios.observations import Observations
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

#: Wall-clock time of the start, in milliseconds since the epoch.
EPOCH_MS = 1_700_000_000_000
#: Time between start of the hosts and start of the scenario, in seconds.
WARM_UP_S = 3.0
#: Delay with which the host list shows the truth, in seconds.
HOST_LIST_LAG_S = 1.0
#: Time between looks at whether a stopping host is drained, in seconds.
DRAIN_CHECK_S = 0.05
#: Time that a stopping host serves on, for the balancer to notice.
STOP_NOTICE_S = 1.0


class CoreEngine:
    """The world of one scenario."""

    def __init__(self, scenario: Scenario, parameters: Parameters, seed: int):
        """Build the world; ``parameters`` apply to every core."""
        self.scenario = scenario
        shapes = {'association': association, 'franchise': franchise}
        users = [shapes[name](scenario.services) for name in scenario.users]
        world = CoreWorld(make_layout(users, scenario.hosts), seed)
        self._world = world
        self.store = FakeStore(world.call_later)
        self.targets = {
            placed.target.name: FakeTarget(
                placed,
                world.random,
                world.call_later,
                world.since_origin,
                world.seen,
            )
            for placed in world.layout.targets
        }
        self.callers = FakeCallers(world)
        self.operators = FakeOperators(world)
        self._network = CoreNetwork(
            world,
            self.store,
            self.targets,
            self.callers,
        )
        world.carry_out = self._network.carry_out
        self._parameters = parameters
        self._listed_leaving: set[str] = set()

    @property
    def world(self) -> CoreWorld:
        """Time, hosts and what was seen."""
        return self._world

    def run(self) -> Observations:
        """Run the scenario; its times count from after the warm-up."""
        self._publish_hosts()
        for name in self._world.hosts:
            self._start_host(name)
        self._world.run_until(WARM_UP_S / 2)
        self.operators.apply_document(self._world.layout.configuration)
        self._world.run_until(WARM_UP_S)
        self._world.start_counting()
        for step in self.scenario.steps:
            self._world.call_later(step.at_s, self._performer(step.action))
        self.callers.start(self.scenario)
        self._world.run_until(self.scenario.end_s)
        self.callers.stop()
        self._world.run_until(self.scenario.end_s + 2 * WARM_UP_S)
        self._note_final_revisions()
        return self._world.seen

    def _start_host(self, name: str) -> None:
        host = self._world.hosts[name]
        placed = next(
            placed for placed in self._world.layout.hosts if placed.name == name
        )
        address = placed.address(GOSSIP_PORT)
        host.starts += 1
        host.frozen = False
        host.core = NodeCore(
            Identity(
                name=name,
                gossip_address=address,
                data_address=address,
                data_centre=host.data_centre,
                incarnation=EPOCH_MS + int(self._world.now * 1000),
            ),
            self._parameters,
            random.Random(self._world.random.getrandbits(64)),
            self._world.now,
            seeds=tuple(
                other.address(GOSSIP_PORT) for other in self._world.layout.hosts
            ),
        )
        host.core.start()
        self._world.settle(host)

    def kill_host(self, host: CoreHost) -> None:
        """End a process; its connections break."""
        core = host.core
        host.core = None
        host.held.clear()
        host.wakeup = float('inf')
        for other in self._world.hosts.values():
            peer = other.core
            if core is not None and peer is not None:
                self._world.call_later(
                    NEAR_S,
                    self._loss_of(host.name, other, peer),
                )
        self.callers.on_host_lost(host.name)

    def _loss_of(
        self,
        name: str,
        other: CoreHost,
        peer: NodeCore,
    ) -> Callable[[], None]:
        return lambda: self._world.on_host(
            other,
            peer,
            lambda: peer.on_peer_lost(self._world.now, name),
        )

    def _drain(self, host: CoreHost, notice_until: float) -> None:
        core = host.core
        if core is None:
            return
        if self._world.now >= notice_until and core.drained:
            self._world.seen.cut_by_stop += self.callers.waiting_at(host.name)
            self.kill_host(host)
            return
        self._world.call_later(
            DRAIN_CHECK_S,
            lambda: self._drain(host, notice_until),
        )

    def _performer(self, action: Action) -> Callable[[], None]:
        return lambda: self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case Kill(name=name) if name in self._world.hosts:
                self.kill_host(self._world.hosts[name])
            case Kill(name=name):
                self.targets[name].crash()
            case Start(name=name) if name in self._world.hosts:
                self._start_host(name)
            case Start(name=name):
                self.targets[name].restart()
            case Stop(name=name):
                self._stop_host(self._world.hosts[name])
            case Freeze(name=name):
                self._world.hosts[name].frozen = True
            case Thaw(name=name):
                self._thaw(self._world.hosts[name])
            case Cut():
                self._network.cut(action)
            case Heal():
                self._network.heal(action)
            case StoreFault():
                self.store.suffer(action)
            case Operate():
                self.operators.operate(action)
            case CrashRequest(times=times):
                self.callers.send_crashing(times)
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
                    target.signal(sign)
                case TargetVersions(versions=versions):
                    target.versions = versions
                case TargetKeys(start=start, end=end):
                    target.keys = type(target.keys)(start, end)
                    target.partition_revision = action.partition_revision

    def _stop_host(self, host: CoreHost) -> None:
        core = host.core
        if core is None:
            return
        core.stop(self._world.now)
        self._world.settle(host)
        self._drain(host, self._world.now + STOP_NOTICE_S)

    def _thaw(self, host: CoreHost) -> None:
        host.frozen = False
        held = host.held
        host.held = []
        for event in held:
            event()

    def _publish_hosts(self) -> None:
        hosts = [
            {
                'name': host.name,
                'kind': 'entry',
                'address': host.address(GOSSIP_PORT),
                'data_centre': host.data_centre,
            }
            for host in self._world.layout.hosts
        ]
        targets = [
            {
                'name': placed.target.name,
                'kind': 'target',
                'address': placed.target.address,
                'data_centre': placed.target.data_centre,
                'leaving': placed.target.name in self._listed_leaving,
            }
            for placed in self._world.layout.targets
        ]
        content = json.dumps({'hosts': hosts + targets}).encode()
        lag_s = HOST_LIST_LAG_S if self._world.now else 0

        def show() -> None:
            self.store.host_list = content

        self._world.call_later(lag_s, show)

    def _note_final_revisions(self) -> None:
        for host in self._world.hosts.values():
            if host.core is not None and not host.frozen:
                revision = host.core.configuration.revision
                self._world.seen.final_revisions[host.name] = revision
