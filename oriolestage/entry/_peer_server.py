"""Serves batches of shards to entry hosts of other regions."""

import asyncio
import itertools
import socket
import time
from collections.abc import Callable, Iterable, Mapping

from oriolestage._logging import log_event
from oriolestage.entry._caller_connections import UNGUARDED, ConnectionGuard
from oriolestage.entry._compressed_frames import FrameReader, FrameWriter
from oriolestage.entry._crash_tracking import (
    AttemptSender,
    fingerprint_from_headers,
)
from oriolestage.entry._peer_messages import (
    GatherCancel,
    GatherRequest,
    Ping,
    Pong,
    RelayRequest,
    ToPeer,
    decode_to_peer,
    encode,
)
from oriolestage.entry._peer_requests import PeerRequests
from oriolestage.entry._peer_streams import PeerStreams
from oriolestage.entry._quota_wire import (
    QuotaMessage,
    QuotaNotices,
    QuotaReports,
    QuotaVerdicts,
)
from oriolestage.entry._relay_serving import RelayServer
from oriolestage.entry._shard_gathering import (
    ReplyWriter,
    ShardResult,
    ShardTasks,
    collect_in_time,
    log_batch,
    send_late_shards,
)
from oriolestage.entry._stream_requests import StreamRequests
from oriolestage.entry._target_client import TargetCall
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
    TargetAnswer,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    NoCapacity,
    NoTarget,
    TargetRequirements,
)
from oriolestage.routing._requirements import build_requirements
from oriolestage.routing._state_changes import Freshness
from oriolestage.routing._stragglers import StragglerDetector
from oriolestage.routing._targets import KnownTarget
from oriolestage.routing._version_rules import NOT_EXPOSED

#: Number of the first attempt for another host. Attempts for callers count
#: from 1, so the ranges do not meet.
FIRST_ATTEMPT_NUMBER = 1_000_000_000_000
#: Retry-after for a service without a known target, in seconds. A new
#: registration takes some tenths of a second to reach all hosts.
NO_TARGET_RETRY_AFTER_S = 0.5
#: Retry-after for all services while this host reaches no target, in seconds:
#: the interval at which it looks for a path.
CUT_OFF_RETRY_AFTER_S = 0.5
#: Step of a batch or of one of its attempts that ended with an error of this
#: program.
CRASH_STEP = 'batch.crash'


def _no_verdicts(_: QuotaMessage) -> QuotaVerdicts | None:
    """Count nothing."""


class PeerServer:
    """Sends the shards of other hosts' batches to targets and replies."""

    def __init__(
        self,
        cluster_state: ClusterState,
        placement: Placement,
        sender: AttemptSender,
        freshness: Callable[[], Freshness],
        answer_quotas: Callable[
            [QuotaMessage], QuotaVerdicts | None
        ] = _no_verdicts,
        guard: ConnectionGuard = UNGUARDED,
    ) -> None:
        """Create a server; ``freshness`` is read for each reply.

        ``answer_quotas`` returns the answer to reports of quotas, None if
        there is none.
        """
        self._answer_quotas = answer_quotas
        self._streams = PeerStreams(guard, lambda: cluster_state.limits)
        self._freshness = freshness
        self._cluster_state = cluster_state
        self._placement = placement
        self._sender = sender
        self._relays = RelayServer(cluster_state, placement, sender)
        self._attempt_numbers = itertools.count(FIRST_ATTEMPT_NUMBER)
        self._server: asyncio.Server | None = None
        self._requests = PeerRequests(freshness)

    @property
    def relays_in_flight(self) -> int:
        """Number of requests of other hosts to single services."""
        return self._relays.in_flight

    @property
    def requests(self) -> PeerRequests:
        """Requests of other hosts in flight, for one or several services."""
        return self._requests

    async def start(self, listener: socket.socket) -> None:
        """Accept streams of other hosts on a listening socket."""
        self._server = await asyncio.start_server(
            self._serve_stream,
            sock=listener,
        )

    def close(self) -> None:
        """Stop accepting streams and close the open ones."""
        if self._server is not None:
            self._server.close()
        self._streams.close()

    async def _serve_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Process the messages of one stream until it ends."""
        stream = self._streams.add(reader, writer)
        if stream is None:
            return
        running = StreamRequests()
        requests = FrameReader(reader, self._streams.bounds_of(stream))
        replies = FrameWriter(writer)
        try:
            while True:
                message = decode_to_peer(await requests.read())
                stream.note_message()
                self._dispatch(message, replies, running)
        except (asyncio.IncompleteReadError, OSError):
            return
        except asyncio.CancelledError:
            # Event loop shutdown: asyncio would log a cancelled stream
            # handler as an error.
            return
        except Exception as error:
            log_event('batch_rejected', {'step': 'peer', 'error': repr(error)})
        finally:
            running.cancel_all()
            self._streams.remove(stream)

    def _dispatch(
        self,
        message: ToPeer,
        frames: FrameWriter,
        running: StreamRequests,
    ) -> None:
        match message:
            case GatherRequest() | RelayRequest() if (
                self._requests.outlasts_host(message)
            ):
                self._requests.decline(message, frames)
            case GatherRequest(number=number):
                running.start(
                    number,
                    lambda: self._requests.start(
                        message, self._run_batch(message, frames)
                    ),
                )
            case RelayRequest(number=number):
                running.start(
                    number,
                    lambda: self._requests.start(
                        message, self._relays.serve(message, frames)
                    ),
                )
            case Ping():
                frames.write(encode(self._make_pong()))
            case GatherCancel(number=number):
                running.cancel(number)
            case QuotaReports() | QuotaNotices():
                verdicts = self._answer_quotas(message)
                if verdicts is not None:
                    frames.write(encode(verdicts))

    def _make_pong(self) -> Pong:
        freshness = self._freshness()
        return Pong(
            freshness.revision,
            freshness.age_ms,
            self._placement.observations.reach.cut_off,
            freshness.era,
        )

    async def _run_batch(
        self, request: GatherRequest, frames: FrameWriter
    ) -> None:
        """Serve a batch; after an error, reply that its shards have failed."""
        replies = ReplyWriter(request, frames, self._freshness)
        try:
            await self._serve_batch(request, replies)
        except Exception as error:
            log_event(
                'batch_crashed',
                {
                    'id': request.request_id,
                    'step': CRASH_STEP,
                    'error': repr(error),
                },
            )
            replies.answer(
                [ShardResult(service, None) for service in request.services],
                request.work_s,
                merged=False,
                final=True,
            )

    async def _serve_batch(
        self, request: GatherRequest, replies: ReplyWriter
    ) -> None:
        """Send a batch to targets and write the replies.

        Shards without a free target are declined at once. One reply
        holds the shards that are in time; late shards follow in further
        replies as they end.
        """
        started_at = time.monotonic()
        stragglers = StragglerDetector(len(request.services), request.work_s)
        chosen, declined = self._choose_targets(request, started_at)
        if declined:
            unreachable = self._find_unreachable(request, declined, started_at)
            replies.decline(declined, unreachable, final=not chosen)
        fingerprint = request.fingerprint or fingerprint_from_headers(
            request.method,
            request.headers,
            request.path,
            request.body,
        )
        tasks = ShardTasks(
            self._send_attempt(
                request, fingerprint, service, target, stragglers
            )
            for service, target in chosen.items()
        )
        try:
            shards = await collect_in_time(
                tasks, stragglers, started_at, request.late_s
            )
            log_batch(request, shards, len(chosen), stragglers, started_at)
            if shards or tasks.pending:
                replies.answer(
                    shards,
                    stragglers.work_s,
                    merged=request.merged,
                    final=not tasks.pending,
                )
            await send_late_shards(tasks, stragglers, replies)
        finally:
            tasks.cancel()
            stragglers.report_observations(
                self._placement, request.route, time.monotonic()
            )

    def _choose_targets(
        self,
        request: GatherRequest,
        now: float,
    ) -> tuple[Mapping[str, KnownTarget], Mapping[str, float]]:
        """Return the chosen targets and the declined services.

        A service is declined if it has no free target; its value is the
        time after which to retry, in seconds.
        """
        chosen: dict[str, KnownTarget] = {}
        declined: dict[str, float] = {}
        cut_off = self._placement.observations.reach.cut_off
        for service in request.services:
            if cut_off:
                declined[service] = CUT_OFF_RETRY_AFTER_S
                continue
            requirements = self._build_requirements(request, service)
            choice = self._placement.choose(
                requirements,
                (),
                now,
                draw=NOT_EXPOSED if request.repeat else self._placement.draw(),
            )
            match choice:
                case ChosenTarget(target=target):
                    chosen[service] = target
                case NoCapacity(wait_s=wait_s):
                    declined[service] = wait_s
                case NoTarget():
                    declined[service] = NO_TARGET_RETRY_AFTER_S
        return chosen, declined

    def _find_unreachable(
        self,
        request: GatherRequest,
        declined: Iterable[str],
        now: float,
    ) -> tuple[str, ...]:
        """Return the declined services whose targets this host cannot reach."""
        return tuple(
            service
            for service in declined
            if self._placement.unreachable(
                self._build_requirements(request, service), now
            )
        )

    def _build_requirements(
        self, request: GatherRequest, service: str
    ) -> TargetRequirements:
        return build_requirements(
            self._cluster_state.table,
            service,
            request.route,
            frozenset(request.regions),
        )

    async def _send_attempt(
        self,
        request: GatherRequest,
        fingerprint: int,
        service: str,
        target: KnownTarget,
        stragglers: StragglerDetector,
    ) -> ShardResult:
        """Send one attempt and return the shard's result.

        The result has an answer only if the target succeeded.
        """
        attempt = next(self._attempt_numbers)
        self._placement.record_sent(target, attempt, time.monotonic())
        outcome: AttemptOutcome
        try:
            outcome = await self._sender.send(
                TargetCall(
                    request_id=request.request_id,
                    method=request.method,
                    path=request.path,
                    headers=request.headers,
                    body=request.body,
                    repeatable=True,
                    target=target.record.identity,
                    address=target.record.address,
                    time_left_s=request.time_left_s,
                    fingerprint=fingerprint,
                    route=request.route,
                    process=target.process,
                ),
            )
        except asyncio.CancelledError:
            self._placement.observations.record_abandoned(
                target,
                attempt,
                stragglers.late_s,
                time.monotonic(),
            )
            raise
        except Exception as error:
            log_event(
                'attempt_crashed',
                {
                    'id': request.request_id,
                    'step': CRASH_STEP,
                    'peer': target.record.address,
                    'error': repr(error),
                },
            )
            outcome = AttemptLost(CRASH_STEP)
        return ShardResult(
            service,
            self._record_outcome(target, attempt, outcome, stragglers),
            target.record.identity if target.leaving else '',
        )

    def _record_outcome(
        self,
        target: KnownTarget,
        attempt: int,
        outcome: AttemptOutcome,
        stragglers: StragglerDetector,
    ) -> TargetAnswer | None:
        now = time.monotonic()
        match outcome:
            case AttemptAnswered(answer=answer) if answer.success:
                worked_s = self._placement.observations.record_answer(
                    target, attempt, now
                )
                stragglers.record_answer(target, worked_s)
                return answer
            case AttemptAnswered() | AttemptNotRun(reason=NotRunReason.SHED):
                self._placement.observations.record_failure(
                    target, attempt, now
                )
            case AttemptNotRun(reason=reason):
                self._placement.observations.record_not_reached(
                    target, attempt, now
                )
                target.replaced |= reason == NotRunReason.OTHER_TARGET
            case AttemptLost(step=step, responded=responded):
                self._placement.observations.record_lost(
                    target, attempt, now, responded=responded
                )
                log_event(
                    'attempt_failed',
                    {'step': step, 'peer': target.record.address},
                )
        return None
