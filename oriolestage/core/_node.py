"""The decision core of one host: time and messages in, effects out.

An embedder calls the ``on_...`` methods with the current time and carries out
the effects it takes afterwards. The core opens no socket, reads no clock and
draws no randomness of its own, so any number of cores run in one process.
"""

import random
from collections.abc import Callable, Sequence

from oriolestage.core._charts import StateChart, load_chart
from oriolestage.core._effects import AnswerCaller, Effect, Outbox
from oriolestage.core._messages import (
    Ack,
    AcquireTargets,
    CancelAttempts,
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ConfigurationReply,
    ConfigurationRequest,
    DataMessage,
    GossipMessage,
    Ping,
    PingRequest,
    RevisionQuery,
    RevisionReport,
    ShardBatch,
    ShardReplies,
    SyncReply,
    SyncRequest,
    TargetLeaving,
    TargetsReleased,
)
from oriolestage.core._parameters import Identity, Parameters
from oriolestage.core._store_port import (
    StoreOutcome,
    StorePort,
)
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration import Route, RouteKind
from oriolestage.core.configuration._configuration_keeper import (
    ConfigurationKeeper,
)
from oriolestage.core.configuration._freshness import Freshness
from oriolestage.core.configuration._in_force import (
    InForceReport,
    InForceSurveys,
)
from oriolestage.core.configuration._operator_commands import (
    ChangeOutcome,
    OperatorCommand,
    OperatorCommands,
)
from oriolestage.core.keys._key_keeper import KeyKeeper
from oriolestage.core.membership._host_directory import HostDirectory
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._command_runner import CommandRunner
from oriolestage.core.queries._outcomes import NotRun, Reason
from oriolestage.core.queries._query_runner import QueryRunner
from oriolestage.core.queries._shard_sender import ShardSender
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._ownership import OwnershipView, PeerPort
from oriolestage.core.targets._target_knowledge import TargetKnowledge
from oriolestage.core.targets._target_owner import TargetOwner
from oriolestage.core.targets._target_results import TargetResult, TargetSigns

#: Suggested wait while a host may not start new work, in milliseconds.
UNREADY_RETRY_MS = 500


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
        self._identity = identity
        self._parameters = parameters
        self._started_at = now
        self._outbox = Outbox()
        self._timers = Timers(now)
        self._freshness = Freshness(parameters.freshness_limit_s)
        self._store = StorePort(self._outbox, self._timers, self._freshness)
        self._membership = Membership(
            identity,
            parameters,
            randomness,
            self._outbox,
            self._timers,
            self._freshness,
        )
        self._keeper = ConfigurationKeeper(
            parameters,
            randomness,
            self._outbox,
            self._timers,
            self._store,
            self._membership,
        )
        self._commands = OperatorCommands(
            self._outbox,
            self._timers,
            self._store,
            self._membership,
            self._keeper,
        )
        self._surveys = InForceSurveys(
            self._outbox,
            self._timers,
            self._membership,
        )
        self._ownership = OwnershipView(self._membership, self._keeper)
        self._peers = PeerPort(self._membership, self._outbox)
        self._crashes = CrashRegister(
            parameters,
            self._outbox,
            self._timers,
            self._membership,
        )
        knowledge = TargetKnowledge(randomness)
        self._attempts = AttemptTable(
            parameters,
            self._timers,
            self._peers,
            knowledge,
        )
        self._owner = TargetOwner(
            parameters,
            self._outbox,
            self._timers,
            self._membership,
            self._keeper,
            self._ownership,
            self._peers,
            self._crashes,
            self.may_start_work,
        )
        sender = ShardSender(
            self._timers,
            self._keeper,
            self._ownership,
            self._peers,
            knowledge,
            self._attempts,
        )
        self._queries = QueryRunner(
            parameters,
            self._outbox,
            self._timers,
            self._keeper,
            self._crashes,
            knowledge,
            self._attempts,
            sender,
        )
        self._one_time = CommandRunner(
            parameters,
            self._outbox,
            self._timers,
            self._keeper,
            self._ownership,
            self._peers,
            self._crashes,
            knowledge,
            self._attempts,
            sender,
        )
        self._keys = KeyKeeper(
            parameters,
            self._outbox,
            self._timers,
            self._store,
            self._ownership,
            self._peers,
            identity.incarnation,
            self._wall_ms,
        )
        self._directory = HostDirectory(
            parameters,
            self._outbox,
            self._timers,
            self._store,
            self._membership,
            self._keeper,
            self._ownership,
            self._peers,
            seeds,
        )
        self._chart = StateChart(load_chart('node'))
        self._state = self._chart.state
        self._last_tick = now
        self._view_seen = -1
        self._seen_revision = -1

    # What can be seen.

    @property
    def state(self) -> str:
        """Name of the state in the host's life."""
        return self._state

    @property
    def membership(self) -> Membership:
        """The view of other hosts."""
        return self._membership

    @property
    def configuration(self) -> ConfigurationKeeper:
        """The configuration in force and its history."""
        return self._keeper

    @property
    def owner(self) -> TargetOwner:
        """The targets that this host owns."""
        return self._owner

    @property
    def queries(self) -> QueryRunner:
        """The queries that came in here."""
        return self._queries

    @property
    def attempts(self) -> AttemptTable:
        """The shard requests that this host waits for."""
        return self._attempts

    @property
    def requests_in_flight(self) -> int:
        """Caller requests and target calls that have not ended."""
        return (
            self._queries.in_flight
            + self._one_time.in_flight
            + self._owner.calls_in_flight
        )

    @property
    def next_wakeup(self) -> float:
        """Time at which ``on_time`` has work to do."""
        return self._timers.next_wakeup

    @property
    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self._state == 'serving' and self.may_start_work()

    def may_start_work(self) -> bool:
        """Tell whether new work may be sent to targets now."""
        if not self._keeper.loaded:
            return False
        return self._freshness.is_fresh(
            self._timers.now,
            self._membership.alive_count,
            self._membership.fleet_size,
        )

    def take_effects(self) -> list[Effect]:
        """Give the effects of all calls since the last time."""
        self._settle()
        return self._outbox.take()

    # Life.

    def start(self) -> None:
        """Begin to probe, to read the configuration and to tick."""
        self._membership.start()
        self._keeper.start()
        self._directory.start()
        self._probe_leaving_targets()
        self._tick()

    def stop(self, now: float) -> None:
        """Begin a planned stop: hand over targets, finish what is here."""
        self._enter(now)
        self._fire('stop')
        self._membership.leave()

    @property
    def drained(self) -> bool:
        """Tell whether a stopping host has nothing left to finish."""
        return self._state == 'draining' and not self.requests_in_flight

    # Events.

    def on_time(self, now: float) -> None:
        """Run what is due."""
        self._enter(now)
        self._timers.run_due()

    def on_caller_request(self, now: float, request: CallerRequest) -> None:
        """Take a caller's request; the answer comes as an effect."""
        self._enter(now)
        refusal = self._refusal(request)
        if refusal is not None:
            self._outbox.add(AnswerCaller(request.request_id, refusal))
            return
        match self._keeper.index.route(request.route):
            case Route(kind=RouteKind.QUERY) as route:
                self._queries.start(request, route)
            case Route() as route:
                self._one_time.start(request, route)
            case _:
                unknown = NotRun(
                    Reason.UNKNOWN_ROUTE,
                    'entry.route',
                    request.route,
                )
                self._outbox.add(AnswerCaller(request.request_id, unknown))

    def on_caller_gone(self, now: float, request_id: str) -> None:
        """Drop the work of a caller that closed its connection."""
        self._enter(now)
        self._queries.cancel(request_id)
        self._one_time.cancel(request_id)

    def on_gossip(self, now: float, message: GossipMessage) -> None:
        """Handle a gossip message of another host."""
        self._enter(now)
        match message:
            case Ping() | Ack() | PingRequest():
                self._membership.on_message(message)
                self._crashes.on_marks(message.header.crashes)
                self._keeper.note_peer_revision(
                    message.header.sender,
                    message.header.revision,
                )
            case SyncRequest() | SyncReply():
                self._membership.on_message(message)
                if isinstance(message, SyncReply):
                    self._keeper.note_peer_revision(
                        message.sender,
                        message.revision,
                    )
            case ConfigurationRequest():
                self._keeper.on_request(message)
            case ConfigurationReply():
                self._keeper.on_reply(message)
            case RevisionQuery(sender=sender, sequence=sequence):
                self._report_revision(sender, sequence)
            case RevisionReport():
                self._surveys.on_report(message)

    def on_data(self, now: float, message: DataMessage) -> None:
        """Handle a data message of another host."""
        self._enter(now)
        self._handle_data(message)

    def on_data_not_sent(
        self,
        now: float,
        peer: str,
        message: DataMessage,
    ) -> None:
        """Take in that a data message certainly did not reach its peer."""
        self._enter(now)
        match message:
            case ShardBatch(entries=entries):
                self._attempts.on_not_sent(
                    peer,
                    [entry.attempt for entry in entries],
                )
            case ClaimRequest(claim=claim):
                self._one_time.on_claim_not_sent(claim)

    def on_peer_lost(self, now: float, peer: str) -> None:
        """Take in that the data stream to a peer broke."""
        self._enter(now)
        self._attempts.on_peer_lost(peer)

    def on_target_result(
        self,
        now: float,
        call: int,
        outcome: TargetResult,
    ) -> None:
        """Take in how a call to a target ended."""
        self._enter(now)
        self._owner.on_target_result(call, outcome)

    def on_probe_result(
        self,
        now: float,
        target: str,
        signs: TargetSigns,
    ) -> None:
        """Take in what a target's status page told."""
        self._enter(now)
        self._owner.on_probe_result(target, signs)

    def on_store_outcome(
        self,
        now: float,
        operation: int,
        outcome: StoreOutcome,
    ) -> None:
        """Take in how a call to the store ended."""
        self._enter(now)
        self._store.on_outcome(operation, outcome)

    def on_operator_command(
        self,
        now: float,
        command: OperatorCommand,
        callback: Callable[[ChangeOutcome], None],
    ) -> None:
        """Try to change the configuration."""
        self._enter(now)
        self._commands.submit(command, callback)

    def survey_revision(
        self,
        now: float,
        revision: int,
        wait_s: float,
        callback: Callable[[InForceReport], None],
    ) -> None:
        """Find out where a revision is in force."""
        self._enter(now)
        self._surveys.start(revision, wait_s, callback)

    # Inside.

    def _enter(self, now: float) -> None:
        late_s = now - self._last_tick
        self._timers.advance(now)
        if late_s <= self._parameters.pause_limit_s:
            return
        self._last_tick = now
        self._outbox.log(
            'pause_detected', step='clock', late_s=round(late_s, 3)
        )
        self._owner.drop_all('paused')
        self._view_seen = -1
        self._membership.on_pause()

    def _tick(self) -> None:
        self._last_tick = self._timers.now
        self._timers.call_after(self._parameters.tick_period_s, self._tick)
        fresh = self.may_start_work()
        if self._keeper.loaded and self._state == 'joining':
            self._fire('configuration_loaded')
        if self._state == 'serving' and not fresh:
            self._fire('configuration_stale')
        if self._state == 'isolated' and fresh:
            self._fire('configuration_fresh')

    def _probe_leaving_targets(self) -> None:
        self._timers.call_after(
            self._parameters.leaving_probe_period_s,
            self._probe_leaving_targets,
        )
        self._owner.probe_leaving()

    def _fire(self, event: str) -> None:
        before = self._state
        self._state = self._chart.fire(event)
        if self._state != before:
            self._outbox.log(
                'node_state',
                step='node',
                state=self._state,
                before=before,
            )

    def _settle(self) -> None:
        """Handle local messages and changes of view until none is left."""
        while True:
            self._refresh_ownership()
            message = self._peers.take_local()
            if message is None:
                return
            self._handle_data(message)

    def _refresh_ownership(self) -> None:
        view = self._membership.version
        revision = self._keeper.revision
        if (view, revision) == (self._view_seen, self._seen_revision):
            return
        self._view_seen = view
        self._seen_revision = revision
        self._owner.refresh()

    def _handle_data(self, message: DataMessage) -> None:
        match message:
            case ShardBatch():
                self._keeper.note_peer_revision(
                    message.sender,
                    message.revision,
                )
                self._owner.on_batch(message)
            case ShardReplies():
                self._keeper.note_peer_revision(
                    message.sender,
                    message.revision,
                )
                self._attempts.on_replies(message)
            case CancelAttempts():
                self._owner.on_cancel(message)
            case AcquireTargets():
                self._owner.on_acquire(message)
            case TargetsReleased():
                self._owner.on_released(message)
            case TargetLeaving(target=target, leaving=leaving):
                self._owner.on_listed(target, leaving=leaving)
            case ClaimRequest():
                self._keys.on_claim(message)
            case ClaimReply():
                self._one_time.on_claim_reply(message)
            case ClaimResult():
                self._keys.on_result(message)

    def _refusal(self, request: CallerRequest) -> NotRun | None:
        quarantine_s = self._crashes.quarantine_left_s(request.fingerprint)
        if quarantine_s > 0:
            return NotRun(
                Reason.QUARANTINED,
                'entry.admission',
                self._identity.name,
                retry_after_ms=int(quarantine_s * 1000),
            )
        if self.may_start_work():
            return None
        return NotRun(
            Reason.STALE_CONFIGURATION,
            'entry.admission',
            self._identity.name,
            retry_after_ms=UNREADY_RETRY_MS,
        )

    def _report_revision(self, sender: str, sequence: int) -> None:
        member = self._membership.member(sender)
        if member is None:
            return
        report = RevisionReport(
            self._identity.name,
            sequence,
            self._keeper.revision,
        )
        self._membership.reply_to(member, report)

    def _wall_ms(self) -> int:
        elapsed_s = self._timers.now - self._started_at
        return self._identity.incarnation + int(elapsed_s * 1000)
