"""The decision core of one host: time and events in, effects out.

An embedder calls the ``on_...`` methods with the current time in seconds, and
afterwards performs the effects that :meth:`NodeCore.take_effects` returns. The
core opens no socket, reads no clock and uses the random generator it is given,
so many cores can run in one process with simulated time.
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
from oriolestage.core.configuration._change_outcomes import (
    ChangeOutcome,
    OperatorCommand,
)
from oriolestage.core._unreadable_values import UnreadableValues
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._outcomes import NotRun, Reason
from oriolestage.core.queries._query_runner import QueryRunner
from oriolestage.core.targets._target_owner import TargetOwner
from oriolestage.core.targets._target_results import TargetResult, TargetStatus


class NodeCore:
    """The decision core of one host."""

    def __init__(
        self,
        identity: Identity,
        parameters: Parameters,
        randomness: random.Random,
        now: float,
        seeds: Sequence[str] = (),
    ) -> None:
        """Build the core; ``seeds`` are gossip addresses of other hosts."""
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
        """Life-cycle state of the host, such as ``serving``."""
        return self._lifecycle.state

    @property
    def membership(self) -> Membership:
        """This host's view of all hosts."""
        return self._parts.membership

    @property
    def configuration(self) -> ConfigurationTracker:
        """The configuration in force at this host, and its history."""
        return self._parts.configuration

    @property
    def unreadable(self) -> UnreadableValues:
        """The values in the store that this host cannot use."""
        return self._parts.store.unreadable

    @property
    def failures(self) -> int:
        """Number of unexpected errors that ended one step of the core."""
        return self._parts.outbox.failures

    @property
    def owner(self) -> TargetOwner:
        """The targets that this host owns."""
        return self._parts.owner

    @property
    def queries(self) -> QueryRunner:
        """The queries that this host received from callers."""
        return self._parts.queries

    @property
    def attempts(self) -> AttemptTable:
        """The shard requests sent to owners that have no outcome yet."""
        return self._parts.attempts

    @property
    def requests_in_flight(self) -> int:
        """Number of caller requests and target calls that have not ended."""
        return (
            self._parts.queries.in_flight
            + self._parts.command_runner.in_flight
            + self._parts.owner.calls_in_flight
        )

    @property
    def next_wakeup(self) -> float:
        """Time at which ``on_time`` must be called next, in seconds."""
        return self._parts.timers.next_wakeup

    @property
    def ready(self) -> bool:
        """Whether the load balancer should route callers to this host."""
        return self._lifecycle.state == 'serving' and self.may_start_work()

    def may_start_work(self) -> bool:
        """Return whether new work may be sent to targets now."""
        return self._parts.may_start_work()

    def take_effects(self) -> list[Effect]:
        """Return the effects queued since the last call, oldest first.

        Before that, targets are acquired or released after a change of the
        membership or configuration, and messages from this host to itself
        are handled.
        """
        self._deliver_local_messages()
        return self._parts.outbox.take()

    def start(self) -> None:
        """Start probing, loading the configuration and the periodic timers."""
        self._parts.membership.start()
        self._parts.configuration_store.start()
        self._parts.directory.start()
        self._probe_leaving_targets()
        self._tick()

    def stop(self, now: float) -> None:
        """Begin a planned stop: hand over targets, finish running requests."""
        self._advance_clock(now)
        self._lifecycle.fire('stop')
        self._parts.membership.leave()

    @property
    def drained(self) -> bool:
        """Whether a stopping host has finished all its requests."""
        return (
            self._lifecycle.state == 'draining' and not self.requests_in_flight
        )

    def on_time(self, now: float) -> None:
        """Run the timers that are due."""
        self._advance_clock(now)
        self._parts.timers.run_due()

    def on_caller_request(self, now: float, request: CallerRequest) -> None:
        """Admit or refuse a caller's request; answer with an effect."""
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
        """Cancel the request of a caller that closed its connection."""
        self._advance_clock(now)
        self._parts.queries.cancel(request_id)
        self._parts.command_runner.cancel(request_id)

    def on_gossip(self, now: float, message: GossipMessage) -> None:
        """Handle a gossip message from another host."""
        self._advance_clock(now)
        self._router.on_gossip(message)

    def on_data(self, now: float, message: DataMessage) -> None:
        """Handle a data message from another host."""
        self._advance_clock(now)
        self._router.on_data(message)

    def on_data_not_sent(
        self,
        now: float,
        peer: str,
        message: DataMessage,
    ) -> None:
        """Handle a data message that certainly did not reach its peer."""
        self._advance_clock(now)
        self._router.on_data_not_sent(peer, message)

    def on_peer_lost(self, now: float, peer: str) -> None:
        """Handle a broken data stream to a peer.

        Requests in flight there may or may not have run.
        """
        self._advance_clock(now)
        self._parts.attempts.on_peer_lost(peer)

    def on_target_result(
        self,
        now: float,
        call: int,
        outcome: TargetResult,
    ) -> None:
        """Handle the result of the target call numbered ``call``."""
        self._advance_clock(now)
        self._parts.owner.on_target_result(call, outcome)

    def on_probe_result(
        self,
        now: float,
        target: str,
        target_status: TargetStatus,
    ) -> None:
        """Handle what the status page of a target reported."""
        self._advance_clock(now)
        self._parts.owner.owned.on_probe_result(target, target_status)

    def on_store_outcome(
        self,
        now: float,
        operation: int,
        outcome: StoreOutcome,
    ) -> None:
        """Handle the outcome of the store call numbered ``operation``."""
        self._advance_clock(now)
        self._parts.store.on_outcome(operation, outcome)

    def on_operator_command(
        self,
        now: float,
        command: OperatorCommand,
        callback: Callable[[ChangeOutcome], None],
    ) -> None:
        """Try to change the configuration.

        ``callback`` is called once with the outcome, possibly at once.
        """
        self._advance_clock(now)
        self._parts.operator_commands.submit(command, callback)

    def poll_revision(
        self,
        now: float,
        revision: int,
        wait_s: float,
        callback: Callable[[InForceReport], None],
    ) -> None:
        """Poll all hosts for the revision in force there.

        ``callback`` is called once: when every host has ``revision``, or
        after ``wait_s`` seconds.
        """
        self._advance_clock(now)
        self._parts.revision_polls.start(revision, wait_s, callback)

    def _advance_clock(self, now: float) -> None:
        """Move the clock, and react if this process was paused.

        After a pause, other hosts may own this host's targets. All targets are
        released; those that this host still owns are acquired again, cold.
        """
        late_s = now - self._last_tick
        self._parts.timers.advance(now)
        if late_s <= self._parts.parameters.pause_limit_s:
            return
        self._last_tick = now
        self._parts.outbox.log(
            'pause_detected', step='clock', late_s=round(late_s, 3)
        )
        self._parts.owner.owned.release_all('paused')
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
        """Handle messages to this host itself until none is left.

        Ownership is updated before each message and at the end.
        """
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
