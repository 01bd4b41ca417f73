"""Gathers shards in this region for other entry hosts."""

import asyncio
import itertools
import socket
import time
from collections.abc import Callable, Mapping

import msgspec

from oriolestage._logging import log_event
from oriolestage.entry._compressed_frames import FrameReader, FrameWriter
from oriolestage.entry._peer_messages import (
    GatherCancel,
    GatherRequest,
    Ping,
    Pong,
    ToPeer,
    decode_to_peer,
    encode,
)
from oriolestage.entry._shard_gathering import (
    ReplyWriter,
    ShardResult,
    log_batch,
    send_late_shards,
    collect_in_time,
)
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry._crash_tracking import (
    AttemptSender,
    fingerprint_from_headers,
)
from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
    TargetAnswer,
)
from oriolestage.relay._beliefs import Freshness
from oriolestage.relay._knowledge import Knowledge
from oriolestage.relay._placement import Placement
from oriolestage.relay._placement_types import (
    Chosen,
    NoRoom,
    NoTarget,
)
from oriolestage.relay._stragglers import WorkWatch
from oriolestage.relay._targets import KnownTarget
from oriolestage.relay._wants import wanted_of

#: Attempts for other hosts are numbered apart from those for callers.
FIRST_ATTEMPT = 1_000_000_000_000
#: Time for which a service without a target here is not asked for again, in
#: seconds: registrations take some tenths of a second to reach all hosts.
NO_TARGET_WAIT_S = 0.5


class PeerServer:
    """Serves the batches of other entry hosts."""

    def __init__(
        self,
        knowledge: Knowledge,
        placement: Placement,
        targets: AttemptSender,
        freshness: Callable[[], Freshness],
    ) -> None:
        """Prepare the server; replies tell ``freshness``."""
        self._freshness = freshness
        self._knowledge = knowledge
        self._placement = placement
        self._targets = targets
        self._attempts = itertools.count(FIRST_ATTEMPT)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, listening: socket.socket) -> None:
        """Serve batches on a bound socket."""
        self._server = await asyncio.start_server(
            self._serve,
            sock=listening,
        )

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve the requests on one stream until it ends."""
        self._writers.add(writer)
        running: dict[int, asyncio.Task[None]] = {}
        requests = FrameReader(reader)
        replies = FrameWriter(writer)
        try:
            while True:
                message = decode_to_peer(await requests.read())
                self._take(message, replies, running)
        except (asyncio.IncompleteReadError, OSError):
            return
        except asyncio.CancelledError:
            # The loop stops; its streams would report this as an error.
            return
        except (ValueError, msgspec.DecodeError) as error:
            log_event('batch_rejected', {'step': 'peer', 'error': error})
        finally:
            self._end_link(writer, running)

    def _end_link(
        self,
        writer: asyncio.StreamWriter,
        running: dict[int, asyncio.Task[None]],
    ) -> None:
        for task in running.values():
            task.cancel()
        self._writers.discard(writer)
        writer.close()

    def _take(
        self,
        message: ToPeer,
        frames: FrameWriter,
        running: dict[int, asyncio.Task[None]],
    ) -> None:
        match message:
            case GatherRequest(number=number):
                task = asyncio.create_task(self._answer(message, frames))
                running[number] = task
                task.add_done_callback(lambda _: running.pop(number, None))
            case Ping():
                frames.write(encode(self._pong()))
            case GatherCancel(number=number):
                cancelled = running.get(number)
                if cancelled is not None:
                    cancelled.cancel()

    def _pong(self) -> Pong:
        freshness = self._freshness()
        return Pong(freshness.revision, freshness.age_ms)

    async def _answer(
        self,
        request: GatherRequest,
        frames: FrameWriter,
    ) -> None:
        """Send what is in time, then each late shard as it comes.

        Shards without room are declined at once.
        """
        started = time.monotonic()
        watch = WorkWatch(len(request.services), request.work_s)
        replies = ReplyWriter(request, frames, self._freshness)
        chosen, declined = self._choose(request, started)
        if declined:
            replies.decline(declined, final=not chosen)
        fingerprint = fingerprint_from_headers(
            request.method,
            request.headers,
            request.path,
            request.body,
        )
        pending = {
            asyncio.create_task(
                self._attempt(request, fingerprint, service, target, watch),
            )
            for service, target in chosen.items()
        }
        tasks = frozenset(pending)
        try:
            shards = await collect_in_time(
                pending, watch, started, request.late_s
            )
            log_batch(request, shards, len(chosen), watch, started)
            if shards or pending:
                replies.answer(
                    shards,
                    watch.work_s,
                    merged=request.merged,
                    final=not pending,
                )
            await send_late_shards(pending, watch, replies)
        finally:
            for task in tasks:
                task.cancel()
            watch.settle(self._placement, request.route, time.monotonic())

    def _choose(
        self,
        request: GatherRequest,
        now: float,
    ) -> tuple[Mapping[str, KnownTarget], Mapping[str, float]]:
        """Choose a target for each shard that has one with room.

        For the others give the time after which one may have, in seconds.
        """
        table = self._knowledge.table
        regions = frozenset(request.regions)
        chosen: dict[str, KnownTarget] = {}
        declined: dict[str, float] = {}
        for service in request.services:
            wanted = wanted_of(table, service, request.route, regions)
            placed = self._placement.choose(wanted, (), now)
            match placed:
                case Chosen(target=target):
                    chosen[service] = target
                case NoRoom(wait_s=wait_s):
                    declined[service] = wait_s
                case NoTarget():
                    declined[service] = NO_TARGET_WAIT_S
        return chosen, declined

    async def _attempt(
        self,
        request: GatherRequest,
        fingerprint: int,
        service: str,
        target: KnownTarget,
        watch: WorkWatch,
    ) -> ShardResult:
        """Send to one target; give its answer if it is a success."""
        attempt = next(self._attempts)
        self._placement.note_sent(target, attempt, time.monotonic())
        try:
            outcome = await self._targets.send(
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
                ),
            )
        except asyncio.CancelledError:
            self._placement.seen.note_abandoned(
                target,
                attempt,
                watch.late_s,
                time.monotonic(),
            )
            raise
        return ShardResult(service, self._note(target, attempt, outcome, watch))

    def _note(
        self,
        target: KnownTarget,
        attempt: int,
        outcome: AttemptOutcome,
        watch: WorkWatch,
    ) -> TargetAnswer | None:
        now = time.monotonic()
        match outcome:
            case AttemptAnswered(answer=answer) if answer.success:
                worked_s = self._placement.seen.note_answer(
                    target, attempt, now
                )
                watch.note_answer(target, worked_s)
                return answer
            case AttemptAnswered() | AttemptNotRun(reason=NotRunReason.SHED):
                self._placement.seen.note_failure(target, attempt, now)
            case AttemptNotRun(reason=reason):
                self._placement.seen.note_not_reached(target, attempt, now)
                target.replaced |= reason == NotRunReason.OTHER_TARGET
            case AttemptLost(step=step):
                self._placement.seen.note_lost(target, attempt, now)
                log_event(
                    'attempt_failed',
                    {'step': step, 'peer': target.record.address},
                )
        return None
