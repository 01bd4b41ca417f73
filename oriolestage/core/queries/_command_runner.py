"""Runs requests that must not be repeated: one dispatch, on one target.

With an idempotency key, the key's keeper first grants the right to run. A
dispatch is tried elsewhere only after an outcome that shows that no target
started the work.
"""

from oriolestage._rendezvous import rendezvous_owner
from oriolestage.core._effects import AnswerCaller, Outbox
from oriolestage.core._messages import (
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ShardReply,
)
from oriolestage.core._parameters import Parameters
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration import Route, Target
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.keys._idempotency_keys import key_created_ms
from oriolestage.core.keys._key_keeper import slice_of_key
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._command import Command
from oriolestage.core.queries._outcomes import (
    Answered,
    CallerOutcome,
    CommandAnswer,
    MayHaveRun,
    NotRun,
    Reason,
)
from oriolestage.core.queries._shard_sender import Dispatch, ShardSender
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._ownership import OwnershipView, PeerPort
from oriolestage.core.targets._target_knowledge import TargetKnowledge

#: Time by which the entry answers ahead of the deadline, in seconds.
ANSWER_MARGIN_S = 0.002
#: Shortest wait before another dispatch, in seconds.
REDISPATCH_FLOOR_S = 0.01
#: Suggested wait when no target may take the work, in milliseconds.
NO_TARGET_RETRY_MS = 1000


class CommandRunner:
    """Keeps all requests that run at most once and came in here."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerPort,
        crashes: CrashRegister,
        knowledge: TargetKnowledge,
        attempts: AttemptTable,
        sender: ShardSender,
    ) -> None:
        """Start without requests."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._configuration = configuration
        self._ownership = ownership
        self._peers = peers
        self._crashes = crashes
        self._knowledge = knowledge
        self._attempts = attempts
        self._sender = sender
        self._commands: dict[str, Command] = {}
        self._claims: dict[int, Command] = {}
        self._claim_keys: dict[int, str] = {}
        self._claim_number = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that have no answer yet."""
        return len(self._commands)

    def start(self, request: CallerRequest, route: Route) -> None:
        """Begin a request; its answer comes as an effect."""
        timeout_ms = min(request.timeout_ms, route.timeout_ms)
        deadline = self._timers.now + timeout_ms / 1000 - ANSWER_MARGIN_S
        services = self._configuration.index.services_of(route.group)
        placing = request.idempotency_key or str(request.fingerprint)
        service = rendezvous_owner(placing, services)
        command = Command(request, route, service, deadline)
        self._commands[request.request_id] = command
        self._timers.call_at(deadline, lambda: self._on_deadline(command))
        if request.idempotency_key:
            self._claim(command)
            return
        command.granted = True
        self._dispatch(command)

    def cancel(self, request_id: str) -> None:
        """Forget a caller that has gone; its work goes on if it started."""
        command = self._commands.get(request_id)
        if command is not None and not command.attempt:
            self._end(command, self._not_run(command, Reason.CANCELLED))

    def _claim(self, command: Command) -> None:
        self._claim_number += 1
        command.claim = self._claim_number
        key = command.request.idempotency_key
        self._claims[command.claim] = command
        self._claim_keys[command.claim] = key
        left_s = command.deadline - self._timers.now
        request = ClaimRequest(
            sender=self._peers.me,
            claim=command.claim,
            key=key,
            created_ms=key_created_ms(key) or 0,
            fingerprint=command.request.fingerprint,
            timeout_ms=max(1, int(left_s * 1000)),
        )
        if not self._peers.send(self._keeper_of(key), request):
            self.on_claim_not_sent(command.claim)

    def _keeper_of(self, key: str) -> str:
        key_slice = slice_of_key(key, self._parameters.key_slices)
        return self._ownership.keeper_of(key_slice)

    def on_claim_reply(self, reply: ClaimReply) -> None:
        """Run what was granted; pass on what is known already."""
        command = self._claims.pop(reply.claim, None)
        key = self._claim_keys.pop(reply.claim, '')
        late = command is None or command.ended
        if reply.granted and late and key:
            # The grant came too late to be used; the key is free again.
            outcome = NotRun(Reason.DEADLINE, 'entry.claim', self._peers.me)
            self._report(key, outcome)
        if command is None or command.ended:
            return
        if reply.granted:
            command.granted = True
            self._dispatch(command)
            return
        self._on_claim_refused(command, reply.outcome)

    def _on_claim_refused(
        self,
        command: Command,
        outcome: CallerOutcome | None,
    ) -> None:
        if isinstance(outcome, NotRun) and outcome.reason is Reason.NOT_OWNER:
            self._timers.call_after(
                REDISPATCH_FLOOR_S,
                lambda: self._claim_again(command),
            )
            return
        if outcome is None:
            outcome = self._not_run(command, Reason.STORE_UNAVAILABLE)
        self._end(command, outcome)

    def _claim_again(self, command: Command) -> None:
        if not command.ended:
            self._claim(command)

    def on_claim_not_sent(self, claim: int) -> None:
        """Try again after a claim that never left this host."""
        command = self._claims.pop(claim, None)
        self._claim_keys.pop(claim, None)
        if command is None or command.ended:
            return
        self._timers.call_after(
            REDISPATCH_FLOOR_S,
            lambda: self._claim_again(command),
        )

    def _report(self, key: str, outcome: CallerOutcome) -> None:
        self._peers.send(
            self._keeper_of(key),
            ClaimResult(self._peers.me, key, outcome),
        )

    def _dispatch(self, command: Command) -> None:
        if command.ended:
            return
        target = self._sender.choose(command.service, 0)
        if target is not None:
            self._send(command, target)
            return
        at = self._sender.available_at(command.service, 0)
        if at >= command.deadline:
            failure = command.failure
            if failure is None:
                failure = self._not_run(command, Reason.NO_TARGET)
            self._end(command, failure)
            return
        self._dispatch_later(command, at - self._timers.now)

    def _dispatch_later(self, command: Command, delay_s: float) -> None:
        self._timers.call_after(
            max(REDISPATCH_FLOOR_S, delay_s),
            lambda: self._dispatch(command),
        )

    def _send(self, command: Command, target: Target) -> None:
        command.dispatches += 1
        entry = self._sender.register(
            target,
            lambda reply: self._on_reply(command, target, reply),
        )
        command.attempt = entry.attempt
        dispatch = Dispatch(
            command.request,
            command.request.fingerprint,
            0,
            command.deadline,
            idempotent=False,
        )
        self._sender.send(dispatch, [entry])

    def _on_reply(
        self,
        command: Command,
        target: Target,
        reply: ShardReply,
    ) -> None:
        command.attempt = 0
        if command.ended:
            return
        match reply.outcome:
            case Answered():
                self._crashes.note_survived(command.request.fingerprint)
                self._end(command, CommandAnswer(reply.outcome))
            case NotRun():
                self._on_not_run(command, target, reply.outcome)
            case MayHaveRun():
                if reply.outcome.reason is Reason.TARGET_LOST:
                    self._crashes.note_loss(
                        command.request.fingerprint,
                        target.name,
                    )
                self._end(command, reply.outcome)

    def _on_not_run(
        self,
        command: Command,
        target: Target,
        refusal: NotRun,
    ) -> None:
        command.failure = refusal
        final = refusal.reason is Reason.QUARANTINED
        if final or command.dispatches >= self._parameters.attempts_per_shard:
            self._end(command, refusal)
            return
        until = self._timers.now + refusal.retry_after_ms / 1000
        self._knowledge.note_unavailable(target.name, until)
        self._dispatch(command)

    def _on_deadline(self, command: Command) -> None:
        if command.ended:
            return
        if command.attempt:
            outcome: NotRun | MayHaveRun = MayHaveRun(
                Reason.DEADLINE,
                'entry.wait',
                command.service,
            )
            self._attempts.cancel((command.attempt,))
        else:
            outcome = self._not_run(command, Reason.DEADLINE)
        self._end(command, outcome)

    def _end(self, command: Command, outcome: CallerOutcome) -> None:
        command.ended = True
        request = command.request
        self._commands.pop(request.request_id, None)
        if command.granted and request.idempotency_key:
            self._report(request.idempotency_key, outcome)
        self._outbox.add(AnswerCaller(request.request_id, outcome))

    def _not_run(self, command: Command, reason: Reason) -> NotRun:
        return NotRun(
            reason,
            'entry.dispatch',
            command.service,
            retry_after_ms=NO_TARGET_RETRY_MS,
        )
