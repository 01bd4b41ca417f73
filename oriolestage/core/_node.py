"""The decision core of one host: time and messages in, effects out.

An embedder calls the ``on_...`` methods with the current time and carries out
the effects it takes afterwards. The core opens no socket, reads no clock and
draws no randomness of its own, so any number of cores run in one process.
"""

import random
from collections.abc import Callable, Sequence

from oriolestage.core._admission import check_admission
from oriolestage.core._effects import AnswerCaller, Effect
from oriolestage.core._message_router import MessageRouter
from oriolestage.core._messages import DataMessage, GossipMessage
from oriolestage.core._node_lifecycle import NodeLifecycle
from oriolestage.core._node_parts import build_parts
from oriolestage.core._parameters import Identity, Parameters
from oriolestage.core._store_port import StoreOutcome
from oriolestage.core.configuration._configuration import Route, RouteKind
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.configuration._in_force import InForceReport
from oriolestage.core.configuration._operator_commands import (
    ChangeOutcome,
    OperatorCommand,
)
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._outcomes import NotRun, Reason
from oriolestage.core.queries._query_runner import QueryRunner
from oriolestage.core.targets._target_owner import TargetOwner
from oriolestage.core.targets._target_results import TargetResult, TargetSigns


class NodeCore:
    """All decisions of one host."""

    def __init__(
        self,
        identity: Identity,
        parameters: Parameters,
        randomness: random.Random,
        now: float,
        seeds: Sequence[str] = (),
    ) -> None:
        """Wire the parts; ``seeds`` are gossip addresses of other hosts."""
        self._parts = build_parts(
            identity,
            parameters,
            randomness,
            now,
            seeds,
            self.may_start_work,
        )
        self._router = MessageRouter(self._parts)
        self._lifecycle = NodeLifecycle(self._parts.outbox)
        self._last_tick = now
        self._seen_view = -1
        self._seen_revision = -1

    @property
    def state(self) -> str:
        """Name of the state in the host's life."""
        return self._lifecycle.state

    @property
    def membership(self) -> Membership:
        """The view of other hosts."""
        return self._parts.membership

    @property
    def configuration(self) -> ConfigurationTracker:
        """The configuration in force and its history."""
        return self._parts.configuration

    @property
    def owner(self) -> TargetOwner:
        """The targets that this host owns."""
        return self._parts.owner

    @property
    def queries(self) -> QueryRunner:
        """The queries that came in here."""
        return self._parts.queries

    @property
    def attempts(self) -> AttemptTable:
        """The shard requests that this host waits for."""
        return self._parts.attempts

    @property
    def requests_in_flight(self) -> int:
        """Caller requests and target calls that have not ended."""
        return (
            self._parts.queries.in_flight
            + self._parts.command_runner.in_flight
            + self._parts.owner.calls_in_flight
        )

    @property
    def next_wakeup(self) -> float:
        """Time at which ``on_time`` has work to do."""
        return self._parts.timers.next_wakeup

    @property
    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self._lifecycle.state == 'serving' and self.may_start_work()

    def may_start_work(self) -> bool:
        """Tell whether new work may be sent to targets now."""
        return self._parts.may_start_work()

    def take_effects(self) -> list[Effect]:
        """Give the effects of all calls since the last time."""
        self._deliver_local_messages()
        return self._parts.outbox.take()

    def start(self) -> None:
        """Begin to probe, to read the configuration and to tick."""
        self._parts.membership.start()
        self._parts.configuration.start()
        self._parts.directory.start()
        self._probe_leaving_targets()
        self._tick()

    def stop(self, now: float) -> None:
        """Begin a planned stop: hand over targets, finish what is here."""
        self._advance_clock(now)
        self._lifecycle.fire('stop')
        self._parts.membership.leave()

    @property
    def drained(self) -> bool:
        """Tell whether a stopping host has nothing left to finish."""
        return (
            self._lifecycle.state == 'draining' and not self.requests_in_flight
        )

    def on_time(self, now: float) -> None:
        """Run what is due."""
        self._advance_clock(now)
        self._parts.timers.run_due()

    def on_caller_request(self, now: float, request: CallerRequest) -> None:
        """Take a caller's request; the answer comes as an effect."""
        self._advance_clock(now)
        refusal = check_admission(self._parts, request)
        if refusal is not None:
            self._parts.outbox.add(AnswerCaller(request.request_id, refusal))
            return
        match self._parts.configuration.index.route(request.route):
            case Route(kind=RouteKind.QUERY) as route:
                self._parts.queries.start(request, route)
            case Route() as route:
                self._parts.command_runner.start(request, route)
            case _:
                unknown = NotRun(
                    Reason.UNKNOWN_ROUTE,
                    'entry.route',
                    request.route,
                )
                self._parts.outbox.add(
                    AnswerCaller(request.request_id, unknown)
                )

    def on_caller_gone(self, now: float, request_id: str) -> None:
        """Drop the work of a caller that closed its connection."""
        self._advance_clock(now)
        self._parts.queries.cancel(request_id)
        self._parts.command_runner.cancel(request_id)

    def on_gossip(self, now: float, message: GossipMessage) -> None:
        """Handle a gossip message of another host."""
        self._advance_clock(now)
        self._router.on_gossip(message)

    def on_data(self, now: float, message: DataMessage) -> None:
        """Handle a data message of another host."""
        self._advance_clock(now)
        self._router.on_data(message)

    def on_data_not_sent(
        self,
        now: float,
        peer: str,
        message: DataMessage,
    ) -> None:
        """Take in that a data message certainly did not reach its peer."""
        self._advance_clock(now)
        self._router.on_data_not_sent(peer, message)

    def on_peer_lost(self, now: float, peer: str) -> None:
        """Take in that the data stream to a peer broke."""
        self._advance_clock(now)
        self._parts.attempts.on_peer_lost(peer)

    def on_target_result(
        self,
        now: float,
        call: int,
        outcome: TargetResult,
    ) -> None:
        """Take in how a call to a target ended."""
        self._advance_clock(now)
        self._parts.owner.on_target_result(call, outcome)

    def on_probe_result(
        self,
        now: float,
        target: str,
        signs: TargetSigns,
    ) -> None:
        """Take in what a target's status page told."""
        self._advance_clock(now)
        self._parts.owner.owned.on_probe_result(target, signs)

    def on_store_outcome(
        self,
        now: float,
        operation: int,
        outcome: StoreOutcome,
    ) -> None:
        """Take in how a call to the store ended."""
        self._advance_clock(now)
        self._parts.store.on_outcome(operation, outcome)

    def on_operator_command(
        self,
        now: float,
        command: OperatorCommand,
        callback: Callable[[ChangeOutcome], None],
    ) -> None:
        """Try to change the configuration."""
        self._advance_clock(now)
        self._parts.operator_commands.submit(command, callback)

    def poll_revision(
        self,
        now: float,
        revision: int,
        wait_s: float,
        callback: Callable[[InForceReport], None],
    ) -> None:
        """Find out where a revision is in force."""
        self._advance_clock(now)
        self._parts.revision_polls.start(revision, wait_s, callback)

    def _advance_clock(self, now: float) -> None:
        late_s = now - self._last_tick
        self._parts.timers.advance(now)
        if late_s <= self._parts.parameters.pause_limit_s:
            return
        self._last_tick = now
        self._parts.outbox.log(
            'pause_detected', step='clock', late_s=round(late_s, 3)
        )
        self._parts.owner.owned.drop_all('paused')
        self._seen_view = -1
        self._parts.membership.on_pause()

    def _tick(self) -> None:
        self._last_tick = self._parts.timers.now
        self._parts.timers.call_after(
            self._parts.parameters.tick_period_s, self._tick
        )
        self._lifecycle.update_configuration_state(
            loaded=self._parts.configuration.loaded,
            fresh=self.may_start_work(),
        )

    def _probe_leaving_targets(self) -> None:
        self._parts.timers.call_after(
            self._parts.parameters.leaving_probe_period_s,
            self._probe_leaving_targets,
        )
        self._parts.owner.owned.probe_leaving()

    def _deliver_local_messages(self) -> None:
        """Handle local messages and changes of view until none is left."""
        while True:
            self._refresh_ownership()
            message = self._parts.peers.take_local()
            if message is None:
                return
            self._router.on_data(message)

    def _refresh_ownership(self) -> None:
        view = self._parts.membership.version
        revision = self._parts.configuration.revision
        if (view, revision) == (self._seen_view, self._seen_revision):
            return
        self._seen_view = view
        self._seen_revision = revision
        self._parts.owner.owned.refresh()
