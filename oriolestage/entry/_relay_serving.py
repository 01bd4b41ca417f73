"""Sends requests to targets for hosts that do not reach these."""

import asyncio
import dataclasses
import itertools
import time

from oriolestage._logging import log_event
from oriolestage._statuses import InvalidStatusError, check_status
from oriolestage.entry._compressed_frames import FrameWriter
from oriolestage.entry._crash_tracking import (
    AttemptSender,
    fingerprint_from_headers,
)
from oriolestage.entry._peer_messages import (
    RelayAnswered,
    RelayLost,
    RelayNotRun,
    RelayReply,
    RelayRequest,
    encode,
)
from oriolestage.entry._target_client import TargetCall
from oriolestage.routing._answers import (
    FIRST_SERVER_ERROR,
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import ChosenTarget, NoCapacity
from oriolestage.routing._requirements import build_requirements
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing._version_rules import NOT_EXPOSED

#: Number of the first relayed attempt; above those of callers and batches.
FIRST_ATTEMPT_NUMBER = 2_000_000_000_000
#: Step of a request whose task ended with an error or was cancelled.
CRASH_STEP = 'relay.crash'
#: Step of a request whose answer has a status that no response may have.
STATUS_STEP = 'relay.status'
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _RelayedAttempt:
    outcome: AttemptOutcome
    #: Identity of the target if it says that it leaves, else empty.
    leaving: str = ''


class RelayServer:
    """Makes one attempt at a target for each request of another host."""

    def __init__(
        self,
        cluster_state: ClusterState,
        placement: Placement,
        sender: AttemptSender,
    ) -> None:
        """Create a server without requests."""
        self._cluster_state = cluster_state
        self._placement = placement
        self._sender = sender
        self._attempt_numbers = itertools.count(FIRST_ATTEMPT_NUMBER)
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered yet."""
        return self._in_flight

    async def serve(self, request: RelayRequest, frames: FrameWriter) -> None:
        """Send a request to a target and the outcome to the other host.

        A request that may run only once is sent to one target at most. The
        other host decides whether to retry.
        """
        started_at = time.monotonic()
        self._in_flight += 1
        lost = RelayLost(request.number, CRASH_STEP)
        reply: RelayReply = lost
        try:
            attempt = await self._attempt(request, started_at)
            reply = _to_reply(request.number, attempt)
            frames.write(encode(reply))
        except asyncio.CancelledError:
            frames.write(encode(lost))
            raise
        except Exception as error:
            reply = lost
            frames.write(encode(lost))
            log_event(
                'relay_crashed',
                {
                    'id': request.request_id,
                    'step': CRASH_STEP,
                    'error': repr(error),
                },
            )
        finally:
            self._in_flight -= 1
        log_event(
            'relay_served',
            {
                'id': request.request_id,
                'route': request.route,
                'service': request.service,
                'outcome': _describe(reply),
                'took_ms': (time.monotonic() - started_at) * MS_PER_S,
            },
        )

    async def _attempt(
        self, request: RelayRequest, now: float
    ) -> _RelayedAttempt:
        if self._placement.observations.reach.cut_off:
            return _RelayedAttempt(AttemptNotRun(NotRunReason.NOT_REACHED))
        requirements = build_requirements(
            self._cluster_state.table,
            request.service,
            request.route,
            frozenset(request.regions),
        )
        draw = NOT_EXPOSED if request.repeat else self._placement.draw()
        match self._placement.choose(requirements, (), now, draw=draw):
            case ChosenTarget(target=target):
                outcome = await self._send(request, target)
                identity = target.record.identity if target.leaving else ''
                return _RelayedAttempt(outcome, identity)
            case NoCapacity() if not self._placement.unreachable(
                requirements, now
            ):
                return _RelayedAttempt(AttemptNotRun(NotRunReason.SHED))
        return _RelayedAttempt(AttemptNotRun(NotRunReason.NOT_REACHED))

    async def _send(
        self, request: RelayRequest, target: KnownTarget
    ) -> AttemptOutcome:
        attempt = next(self._attempt_numbers)
        self._placement.record_sent(target, attempt, time.monotonic())
        outcome: AttemptOutcome = AttemptLost('relay.cancelled')
        try:
            outcome = await self._sender.send(
                TargetCall(
                    request_id=request.request_id,
                    method=request.method,
                    path=request.path,
                    headers=request.headers,
                    body=request.body,
                    repeatable=request.repeatable,
                    target=target.record.identity,
                    address=target.record.address,
                    time_left_s=request.time_left_s,
                    fingerprint=request.fingerprint
                    or fingerprint_from_headers(
                        request.method,
                        request.headers,
                        request.path,
                        request.body,
                    ),
                    route=request.route,
                    process=target.process,
                ),
            )
        finally:
            self._record(target, attempt, outcome)
        return outcome

    def _record(
        self, target: KnownTarget, attempt: int, outcome: AttemptOutcome
    ) -> None:
        """Record what an outcome says about its target."""
        now = time.monotonic()
        observations = self._placement.observations
        match outcome:
            case AttemptAnswered(answer=answer):
                if answer.status < FIRST_SERVER_ERROR:
                    observations.record_answer(target, attempt, now)
                else:
                    observations.record_failure(target, attempt, now)
            case AttemptNotRun(reason=NotRunReason.SHED):
                observations.record_failure(target, attempt, now)
            case AttemptNotRun(reason=reason):
                observations.record_not_reached(target, attempt, now)
                target.replaced |= reason == NotRunReason.OTHER_TARGET
            case AttemptLost(responded=responded):
                observations.record_lost(
                    target, attempt, now, responded=responded
                )


def outcome_of_reply(reply: RelayReply) -> AttemptOutcome:
    """Return the outcome that a reply describes.

    An answer is lost if the other host should not have passed on its status.
    """
    match reply:
        case RelayAnswered(status=status):
            try:
                check_status(status)
            except InvalidStatusError:
                return AttemptLost(STATUS_STEP)
            return AttemptAnswered(reply.answer)
        case RelayNotRun(shed=shed):
            return AttemptNotRun(
                NotRunReason.SHED if shed else NotRunReason.NOT_REACHED
            )
        case RelayLost(step=step):
            return AttemptLost(step)


def _to_reply(number: int, attempt: _RelayedAttempt) -> RelayReply:
    match attempt.outcome:
        case AttemptAnswered(answer=answer):
            return RelayAnswered(
                number=number,
                status=answer.status,
                # The parser's header names are of a subclass of str, which
                # cannot be encoded.
                headers=tuple(
                    (str(name), text) for name, text in answer.headers
                ),
                body=answer.body,
                signature=answer.signature,
                leaving=attempt.leaving,
            )
        case AttemptNotRun(reason=reason):
            return RelayNotRun(number, shed=reason == NotRunReason.SHED)
        case AttemptLost(step=step):
            return RelayLost(number, step)


def _describe(reply: RelayReply) -> str:
    match reply:
        case RelayAnswered(status=status):
            return f'status_{status}'
        case RelayNotRun(shed=shed):
            return 'shed' if shed else 'not_reached'
        case RelayLost(step=step):
            return step
