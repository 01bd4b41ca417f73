"""Simulated network between hosts, targets, store and callers."""

import functools
from collections.abc import Mapping

from oriolestage.core import (
    AnswerCaller,
    CallTarget,
    CancelTargetCall,
    Effect,
    NodeCore,
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
from scenarios.fake_store import FakeStore
from scenarios.fake_target import FakeTarget
from scenarios.observations import RevisionActivation
from scenarios.simulation import CoreHost, Simulation
from scenarios.steps import Cut, Heal
from trial.layout import GOSSIP_PORT

#: One-way delays within and between data centres, in seconds.
SAME_DATA_CENTRE_DELAY_S = 0.0005
CROSS_DATA_CENTRE_DELAY_S = 0.02
#: Largest random increase of a delay, as a share of it.
MAX_JITTER_SHARE = 0.5


class SimulatedNetwork:
    """Executes the effects of cores, with network delays and cut links."""

    def __init__(
        self,
        simulation: Simulation,
        store: FakeStore,
        targets: Mapping[str, FakeTarget],
        callers: FakeCallers,
    ) -> None:
        """Start without cuts."""
        self._simulation = simulation
        self._store = store
        self._targets = targets
        self._callers = callers
        self._cuts: set[tuple[str, str]] = set()
        self._last_arrival_at: dict[tuple[str, str], float] = {}
        self._host_by_address = {
            host.address(GOSSIP_PORT): host.name
            for host in simulation.layout.hosts
        }

    def cut(self, cut: Cut) -> None:
        """Drop later messages on a link, in both directions or one."""
        self._cuts.add((cut.one, cut.other))
        if not cut.one_way:
            self._cuts.add((cut.other, cut.one))

    def heal(self, healed: Heal) -> None:
        """Restore a link in both directions."""
        self._cuts -= {
            (healed.one, healed.other),
            (healed.other, healed.one),
        }

    def execute_effect(
        self,
        host: CoreHost,
        core: NodeCore,
        effect: Effect,
    ) -> None:
        """Execute an effect that a core requested."""
        match effect:
            case SendGossip(address=address):
                self._send_gossip(host, self._host_by_address[address], effect)
            case SendData(peer=peer):
                self._send_data(host, core, peer, effect)
            case CallTarget():
                self._call_target(host, core, effect)
            case CancelTargetCall(call=call):
                self._simulation.call_later(
                    SAME_DATA_CENTRE_DELAY_S,
                    functools.partial(self._cancel, host.process, call),
                )
            case ProbeTarget(target=probed):
                self._probe(host, core, probed.name)
            case StoreRead() | StoreWrite() | StoreWatch() | ReadHostList():
                self._call_store(host, core, effect)
            case AnswerCaller():
                self._callers.on_answer(host, effect)
            case RevisionInForce(revision=revision, record=record):
                command = record.command_id if record else ''
                self._simulation.observations.revisions.append(
                    RevisionActivation(host.process, revision, command),
                )

    def _delay_s(self, one: str, other: str) -> float:
        base_s = (
            SAME_DATA_CENTRE_DELAY_S
            if one == other
            else CROSS_DATA_CENTRE_DELAY_S
        )
        return base_s * (
            1 + MAX_JITTER_SHARE * self._simulation.random.random()
        )

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) in self._cuts

    def _send_gossip(
        self,
        host: CoreHost,
        receiver: str,
        effect: SendGossip,
    ) -> None:
        other = self._simulation.hosts[receiver]
        peer = other.core
        if peer is None or self._is_cut(host.name, receiver):
            return
        message = effect.message
        self._simulation.call_later(
            self._delay_s(host.data_centre, other.data_centre),
            lambda: self._simulation.run_on_host(
                other,
                peer,
                lambda: peer.on_gossip(self._simulation.now, message),
            ),
        )

    def _send_data(
        self,
        host: CoreHost,
        core: NodeCore,
        receiver: str,
        effect: SendData,
    ) -> None:
        other = self._simulation.hosts[receiver]
        peer = other.core
        message = effect.message
        if peer is None:
            self._simulation.call_later(
                SAME_DATA_CENTRE_DELAY_S,
                lambda: self._simulation.run_on_host(
                    host,
                    core,
                    lambda: core.on_data_not_sent(
                        self._simulation.now, receiver, message
                    ),
                ),
            )
            return
        if self._is_cut(host.name, receiver):
            return
        # Each pair of processes has one stream, which delivers in order.
        link = (host.process, other.process)
        delay_s = self._delay_s(host.data_centre, other.data_centre)
        arrives_at = max(
            self._simulation.now + delay_s, self._last_arrival_at.get(link, 0)
        )
        self._last_arrival_at[link] = arrives_at
        self._simulation.call_later(
            arrives_at - self._simulation.now,
            lambda: self._simulation.run_on_host(
                other,
                peer,
                lambda: peer.on_data(self._simulation.now, message),
            ),
        )

    def _call_target(
        self,
        host: CoreHost,
        core: NodeCore,
        effect: CallTarget,
    ) -> None:
        target = self._targets[effect.target.name]
        process = host.process
        # Not empty once the core has a result; later ones are dropped.
        answered: list[bool] = []
        delay_s = self._delay_s(
            host.data_centre,
            effect.target.data_centre,
        )

        def reply(outcome) -> None:
            if answered:
                return
            answered.append(True)
            self._simulation.call_later(
                delay_s,
                lambda: self._simulation.run_on_host(
                    host,
                    core,
                    lambda: core.on_target_result(
                        self._simulation.now,
                        effect.call,
                        outcome,
                    ),
                ),
            )

        self._simulation.call_later(
            delay_s,
            lambda: target.call(
                process,
                effect,
                self._simulation.scenario_time(),
                reply,
            ),
        )
        self._simulation.call_later(
            effect.call_timeout_ms / 1000,
            lambda: reply(TargetTimedOut()),
        )

    def _cancel(self, process: str, call: int) -> None:
        # Call numbers are unique in a process, so one target at most has it.
        for target in self._targets.values():
            target.cancel(process, call)

    def _probe(self, host: CoreHost, core: NodeCore, name: str) -> None:
        target = self._targets[name]
        if not target.running:
            return
        target_status = target.target_status()
        self._simulation.call_later(
            CROSS_DATA_CENTRE_DELAY_S,
            lambda: self._simulation.run_on_host(
                host,
                core,
                lambda: core.on_probe_result(
                    self._simulation.now, name, target_status
                ),
            ),
        )

    def _call_store(
        self,
        host: CoreHost,
        core: NodeCore,
        effect: StoreRead | StoreWrite | StoreWatch | ReadHostList,
    ) -> None:
        self._store.call(
            effect,
            cut=self._is_cut(host.name, 'store'),
            reply=lambda outcome: self._simulation.run_on_host(
                host,
                core,
                lambda: core.on_store_outcome(
                    self._simulation.now,
                    effect.operation,
                    outcome,
                ),
            ),
        )
