"""Runs a scenario on decision cores with injected time and messages.

Cores, a fake store, fake targets and callers share one event heap. Delays
and the order of messages come from the seed, so a run repeats exactly.
"""

import functools
import heapq
import itertools
import json
import random
from collections.abc import Callable

from oriolestage.core import (
    AnswerCaller,
    CallTarget,
    CancelTargetCall,
    Effect,
    Identity,
    NodeCore,
    Parameters,
    ProbeTarget,
    ReadHostList,
    RevisionInForce,
    SendData,
    SendGossip,
    StoreRead,
    StoreWatch,
    StoreWrite,
    TargetTimedOut,
)
from scenarios.fake_callers import FakeCallers
from scenarios.fake_operators import FakeOperators
from scenarios.fake_store import FakeStore
from scenarios.fake_target import FakeTarget
from scenarios.observations import Observations, RevisionSeen
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
from trial.layout import (
    GOSSIP_PORT,
    Layout,
    association,
    franchise,
    make_layout,
)

#: One-way delays within and between regions, in seconds.
NEAR_S = 0.0005
FAR_S = 0.02
#: Largest random addition to a delay, as a share of it.
JITTER = 0.5
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

_Event = tuple[float, int, Callable[[], None]]


class CoreHost:
    """One host: a core and the state of its process."""

    def __init__(self, name: str, data_centre: str) -> None:
        """Start without a core."""
        self.name = name
        self.data_centre = data_centre
        self.core: NodeCore | None = None
        self.frozen = False
        self.starts = 0
        self.held: list[Callable[[], None]] = []
        self.wakeup = float('inf')

    @property
    def process(self) -> str:
        """Names one process among all that ran on the host."""
        return f'{self.name}/{self.starts}'


class CoreEngine:
    """The world of one scenario."""

    def __init__(self, scenario: Scenario, parameters: Parameters, seed: int):
        """Build the world; ``parameters`` apply to every core."""
        self.scenario = scenario
        self.random = random.Random(seed)
        self.now: float = 0
        self.origin: float = 0
        self.seen = Observations()
        shapes = {'association': association, 'franchise': franchise}
        users = [shapes[name](scenario.services) for name in scenario.users]
        self.layout: Layout = make_layout(users, scenario.hosts)
        self.hosts = {
            host.name: CoreHost(host.name, host.data_centre)
            for host in self.layout.hosts
        }
        self.store = FakeStore(self.call_later)
        self.targets = {
            placed.target.name: FakeTarget(
                placed,
                self.random,
                self.call_later,
                self.since_origin,
                self.seen,
            )
            for placed in self.layout.targets
        }
        self.callers = FakeCallers(self)
        self.operators = FakeOperators(self)
        self._parameters = parameters
        self._heap: list[_Event] = []
        self._order = itertools.count()
        self._cuts: set[tuple[str, str]] = set()
        self._links: dict[tuple[str, str], float] = {}
        self._by_address = {
            host.address(GOSSIP_PORT): host.name for host in self.layout.hosts
        }
        self._listed_leaving: set[str] = set()

    # Time.

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        item = (self.now + delay_s, next(self._order), callback)
        heapq.heappush(self._heap, item)

    def run(self) -> Observations:
        """Run the scenario; its times count from after the warm-up."""
        self._publish_hosts()
        for name in self.hosts:
            self._start_host(name)
        self._run_until(WARM_UP_S / 2)
        self.operators.apply_document(self.layout.configuration)
        self._run_until(WARM_UP_S)
        self._shift_origin()
        for step in self.scenario.steps:
            self.call_later(step.at_s, self._performer(step.action))
        self.callers.start(self.scenario)
        self._run_until(self.scenario.end_s)
        self.callers.stop()
        self._run_until(self.scenario.end_s + 2 * WARM_UP_S)
        self._note_final_revisions()
        return self.seen

    def _shift_origin(self) -> None:
        """Let observations count from now on."""
        self.origin = self.now
        for entries in (self.seen.runs, self.seen.received):
            entries.clear()

    def since_origin(self) -> float:
        """Give the time as the scenario counts it."""
        return self.now - self.origin

    def _run_until(self, end_s: float) -> None:
        end = self.origin + end_s
        while self._heap and self._heap[0][0] <= end:
            when, _, callback = heapq.heappop(self._heap)
            self.now = when
            callback()
        self.now = end

    # Hosts.

    def _start_host(self, name: str) -> None:
        host = self.hosts[name]
        placed = next(
            placed for placed in self.layout.hosts if placed.name == name
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
                incarnation=EPOCH_MS + int(self.now * 1000),
            ),
            self._parameters,
            random.Random(self.random.getrandbits(64)),
            self.now,
            seeds=tuple(self._by_address),
        )
        host.core.start()
        self.settle(host)

    def on_host(
        self,
        host: CoreHost,
        core: NodeCore,
        action: Callable[[], None],
    ) -> None:
        """Let something happen to a process, later if it is frozen."""
        if host.core is not core:
            return
        if host.frozen:
            host.held.append(lambda: self.on_host(host, core, action))
            return
        action()
        self.settle(host)

    def settle(self, host: CoreHost) -> None:
        """Carry out the effects of a core and set its timer."""
        core = host.core
        if core is None:
            return
        for effect in core.take_effects():
            self._carry_out(host, core, effect)
        wakeup = core.next_wakeup
        if wakeup < host.wakeup or host.wakeup <= self.now:
            host.wakeup = wakeup
            self.call_later(
                max(0, wakeup - self.now),
                lambda: self._wake(host, core),
            )

    def _wake(self, host: CoreHost, core: NodeCore) -> None:
        host.wakeup = float('inf')
        self.on_host(host, core, lambda: core.on_time(self.now))

    def kill_host(self, host: CoreHost) -> None:
        """End a process; its connections break."""
        core = host.core
        host.core = None
        host.held.clear()
        host.wakeup = float('inf')
        for other in self.hosts.values():
            peer = other.core
            if core is not None and peer is not None:
                self.call_later(
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
        return lambda: self.on_host(
            other,
            peer,
            lambda: peer.on_peer_lost(self.now, name),
        )

    def _drain(self, host: CoreHost, notice_until: float) -> None:
        core = host.core
        if core is None:
            return
        if self.now >= notice_until and core.drained:
            self.seen.cut_by_stop += self.callers.waiting_at(host.name)
            self.kill_host(host)
            return
        self.call_later(
            DRAIN_CHECK_S,
            lambda: self._drain(host, notice_until),
        )

    # Effects.

    def _carry_out(
        self,
        host: CoreHost,
        core: NodeCore,
        effect: Effect,
    ) -> None:
        match effect:
            case SendGossip(address=address):
                self._send_gossip(host, self._by_address[address], effect)
            case SendData(peer=peer):
                self._send_data(host, core, peer, effect)
            case CallTarget():
                self._call_target(host, core, effect)
            case CancelTargetCall(call=call):
                self.call_later(
                    NEAR_S,
                    functools.partial(self._cancel, host.process, call),
                )
            case ProbeTarget(target=probed):
                self._probe(host, core, probed.name)
            case StoreRead() | StoreWrite() | StoreWatch() | ReadHostList():
                self._call_store(host, core, effect)
            case AnswerCaller():
                self.callers.on_answer(host, effect)
            case RevisionInForce(revision=revision, record=record):
                command = record.command_id if record else ''
                self.seen.revisions.append(
                    RevisionSeen(host.process, revision, command),
                )

    def _delay_s(self, one: str, other: str) -> float:
        base_s = NEAR_S if one == other else FAR_S
        return base_s * (1 + JITTER * self.random.random())

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) in self._cuts

    def _send_gossip(
        self,
        host: CoreHost,
        receiver: str,
        effect: SendGossip,
    ) -> None:
        other = self.hosts[receiver]
        peer = other.core
        if peer is None or self._is_cut(host.name, receiver):
            return
        message = effect.message
        self.call_later(
            self._delay_s(host.data_centre, other.data_centre),
            lambda: self.on_host(
                other,
                peer,
                lambda: peer.on_gossip(self.now, message),
            ),
        )

    def _send_data(
        self,
        host: CoreHost,
        core: NodeCore,
        receiver: str,
        effect: SendData,
    ) -> None:
        other = self.hosts[receiver]
        peer = other.core
        message = effect.message
        if peer is None:
            self.call_later(
                NEAR_S,
                lambda: self.on_host(
                    host,
                    core,
                    lambda: core.on_data_not_sent(self.now, receiver, message),
                ),
            )
            return
        if self._is_cut(host.name, receiver):
            return
        # One stream for each pair keeps its order.
        link = (host.process, other.process)
        delay_s = self._delay_s(host.data_centre, other.data_centre)
        arrives_at = max(self.now + delay_s, self._links.get(link, 0))
        self._links[link] = arrives_at
        self.call_later(
            arrives_at - self.now,
            lambda: self.on_host(
                other,
                peer,
                lambda: peer.on_data(self.now, message),
            ),
        )

    def _call_target(
        self,
        host: CoreHost,
        core: NodeCore,
        effect: CallTarget,
    ) -> None:
        target = self.targets[effect.target.name]
        process = host.process
        answered: list[bool] = []
        delay_s = self._delay_s(
            host.data_centre,
            effect.target.data_centre,
        )

        def reply(outcome) -> None:
            if answered:
                return
            answered.append(True)
            self.call_later(
                delay_s,
                lambda: self.on_host(
                    host,
                    core,
                    lambda: core.on_target_result(
                        self.now,
                        effect.call,
                        outcome,
                    ),
                ),
            )

        self.call_later(
            delay_s,
            lambda: target.call(
                process,
                effect,
                self.since_origin(),
                reply,
            ),
        )
        self.call_later(
            effect.patience_ms / 1000,
            lambda: reply(TargetTimedOut()),
        )

    def _cancel(self, process: str, call: int) -> None:
        for target in self.targets.values():
            target.cancel(process, call)

    def _probe(self, host: CoreHost, core: NodeCore, name: str) -> None:
        target = self.targets[name]
        if not target.running:
            return
        signs = target.signs()
        self.call_later(
            FAR_S,
            lambda: self.on_host(
                host,
                core,
                lambda: core.on_probe_result(self.now, name, signs),
            ),
        )

    def _call_store(
        self,
        host: CoreHost,
        core: NodeCore,
        effect: StoreRead | StoreWrite | StoreWatch | ReadHostList,
    ) -> None:
        self.store.call(
            effect,
            cut=self._is_cut(host.name, 'store'),
            reply=lambda outcome: self.on_host(
                host,
                core,
                lambda: core.on_store_outcome(
                    self.now,
                    effect.operation,
                    outcome,
                ),
            ),
        )

    # Steps.

    def _performer(self, action: Action) -> Callable[[], None]:
        return lambda: self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case Kill(name=name) if name in self.hosts:
                self.kill_host(self.hosts[name])
            case Kill(name=name):
                self.targets[name].crash()
            case Start(name=name) if name in self.hosts:
                self._start_host(name)
            case Start(name=name):
                self.targets[name].restart()
            case Stop(name=name):
                self._stop_host(self.hosts[name])
            case Freeze(name=name):
                self.hosts[name].frozen = True
            case Thaw(name=name):
                self._thaw(self.hosts[name])
            case Cut():
                self._cut(action)
            case Heal(one=one, other=other):
                self._cuts -= {(one, other), (other, one)}
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
        core.stop(self.now)
        self.settle(host)
        self._drain(host, self.now + STOP_NOTICE_S)

    def _thaw(self, host: CoreHost) -> None:
        host.frozen = False
        held = host.held
        host.held = []
        for event in held:
            event()

    def _cut(self, cut: Cut) -> None:
        self._cuts.add((cut.one, cut.other))
        if not cut.one_way:
            self._cuts.add((cut.other, cut.one))

    def _publish_hosts(self) -> None:
        hosts = [
            {
                'name': host.name,
                'kind': 'entry',
                'address': host.address(GOSSIP_PORT),
                'data_centre': host.data_centre,
            }
            for host in self.layout.hosts
        ]
        targets = [
            {
                'name': placed.target.name,
                'kind': 'target',
                'address': placed.target.address,
                'data_centre': placed.target.data_centre,
                'leaving': placed.target.name in self._listed_leaving,
            }
            for placed in self.layout.targets
        ]
        content = json.dumps({'hosts': hosts + targets}).encode()
        lag_s = HOST_LIST_LAG_S if self.now else 0

        def show() -> None:
            self.store.host_list = content

        self.call_later(lag_s, show)

    def _note_final_revisions(self) -> None:
        for host in self.hosts.values():
            if host.core is not None and not host.frozen:
                revision = host.core.configuration.revision
                self.seen.final_revisions[host.name] = revision
