"""Runs commands: requests that must run at most once, on one target.

A command with an idempotency key first needs a grant from the host that owns
the key. A command is sent again only after an outcome which proves that no
target started the work.
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
from oriolestage.core.keys._key_owner import slice_of_key
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
from oriolestage.core.targets._ownership import OwnershipView, PeerMessenger
from oriolestage.core.targets._target_selector import TargetSelector

#: How long before the deadline the caller is answered, in seconds.
ANSWER_MARGIN_S = 0.002
#: Minimum delay before a command or a claim is sent again, in seconds.
MIN_REDISPATCH_DELAY_S = 0.01
#: Retry delay suggested to callers for commands that were not run, in ms.
NO_TARGET_RETRY_MS = 1000


class CommandRunner:
    """Runs all commands that arrived at this entry host."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerMessenger,
        crashes: CrashRegister,
        selector: TargetSelector,
        attempts: AttemptTable,
        sender: ShardSender,
    ) -> None:
        """Start without commands."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._configuration = configuration
        self._ownership = ownership
        self._peers = peers
        self._crashes = crashes
        self._selector = selector
        self._attempts = attempts
        self._sender = sender
        self._commands: dict[str, Command] = {}
        self._commands_by_claim: dict[int, Command] = {}
        self._keys_by_claim: dict[int, str] = {}
        self._last_claim = 0

    @property
    def in_flight(self) -> int:
        """Number of commands that have no answer yet."""
        return len(self._commands)

    def start(self, request: CallerRequest, route: Route) -> None:
        """Start a command; its answer follows as an ``AnswerCaller`` effect."""
        timeout_ms = min(request.timeout_ms, route.timeout_ms)
        deadline = self._timers.now + timeout_ms / 1000 - ANSWER_MARGIN_S
        services = self._configuration.index.services_of(route.group)
        placement_key = request.idempotency_key or str(request.fingerprint)
        service = rendezvous_owner(placement_key, services)
        command = Command(request, route, service, deadline)
        self._commands[request.request_id] = command
        self._timers.call_at(deadline, lambda: self._on_deadline(command))
        if request.idempotency_key:
            self._claim(command)
            return
        command.granted = True
        self._dispatch(command)

    def cancel(self, request_id: str) -> None:
        """Cancel a command whose caller has disconnected.

        A command that was already sent to a target continues.
        """
        command = self._commands.get(request_id)
        if command is not None and not command.attempt:
            self._end(command, self._not_run(command, Reason.CANCELLED))

    def _claim(self, command: Command) -> None:
        self._last_claim += 1
        command.claim = self._last_claim
        key = command.request.idempotency_key
        self._commands_by_claim[command.claim] = command
        self._keys_by_claim[command.claim] = key
        remaining_s = command.deadline - self._timers.now
        request = ClaimRequest(
            sender=self._peers.local_name,
            claim=command.claim,
            key=key,
            created_ms=key_created_ms(key) or 0,
            fingerprint=command.request.fingerprint,
            timeout_ms=max(1, int(remaining_s * 1000)),
        )
        if not self._peers.send(self._key_owner_of(key), request):
            self.on_claim_not_sent(command.claim)

    def _key_owner_of(self, key: str) -> str:
        key_slice = slice_of_key(key, self._parameters.key_slices)
        return self._ownership.owner_of_key_slice(key_slice)

    def on_claim_reply(self, reply: ClaimReply) -> None:
        """Send a granted command, or answer with the outcome in the reply."""
        command = self._commands_by_claim.pop(reply.claim, None)
        key = self._keys_by_claim.pop(reply.claim, '')
        too_late = command is None or command.ended
        if reply.granted and too_late and key:
            # Report the unused grant as not run, so that the key can be
            # granted again.
            outcome = NotRun(
                Reason.DEADLINE, 'entry.claim', self._peers.local_name
            )
            self._report_result(key, outcome)
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
                MIN_REDISPATCH_DELAY_S,
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
        """Retry a claim that never left this host."""
        command = self._commands_by_claim.pop(claim, None)
        self._keys_by_claim.pop(claim, None)
        if command is None or command.ended:
            return
        self._timers.call_after(
            MIN_REDISPATCH_DELAY_S,
            lambda: self._claim_again(command),
        )

    def _report_result(self, key: str, outcome: CallerOutcome) -> None:
        self._peers.send(
            self._key_owner_of(key),
            ClaimResult(self._peers.local_name, key, outcome),
        )

    def _dispatch(self, command: Command) -> None:
        if command.ended:
            return
        target = self._sender.choose(command.service, 0)
        if target is not None:
            self._send(command, target)
            return
        available_at = self._sender.available_at(command.service, 0)
        if available_at >= command.deadline:
            failure = command.failure
            if failure is None:
                failure = self._not_run(command, Reason.NO_TARGET)
            self._end(command, failure)
            return
        self._dispatch_later(command, available_at - self._timers.now)

    def _dispatch_later(self, command: Command, delay_s: float) -> None:
        self._timers.call_after(
            max(MIN_REDISPATCH_DELAY_S, delay_s),
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
                self._crashes.record_answered(command.request.fingerprint)
                self._end(command, CommandAnswer(reply.outcome))
            case NotRun():
                self._on_not_run(command, target, reply.outcome)
            case MayHaveRun():
                if reply.outcome.reason is Reason.TARGET_LOST:
                    self._crashes.record_crash(
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
        available_at = self._timers.now + refusal.retry_after_ms / 1000
        self._selector.record_unavailable(target.name, available_at)
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
            self._report_result(request.idempotency_key, outcome)
        self._outbox.add(AnswerCaller(request.request_id, outcome))

    def _not_run(self, command: Command, reason: Reason) -> NotRun:
        return NotRun(
            reason,
            'entry.dispatch',
            command.service,
            retry_after_ms=NO_TARGET_RETRY_MS,
        )
