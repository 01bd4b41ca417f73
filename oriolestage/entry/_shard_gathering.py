"""Collects the shard results of one batch and writes the replies to it."""

import asyncio
import dataclasses
import math
import time
from collections.abc import Callable, Coroutine, Iterable, Mapping

from oriolestage._logging import log_event
from oriolestage.entry._compressed_frames import FrameWriter
from oriolestage.entry._peer_messages import (
    GatherDeclined,
    GatherReply,
    GatherRequest,
    encode,
)
from oriolestage.routing._answers import TargetAnswer
from oriolestage.routing._merge import (
    drop_below,
    merge_records,
    top_records_floor,
)
from oriolestage.routing._state_changes import Freshness
from oriolestage.routing._stragglers import StragglerDetector

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ShardResult:
    """The result of one shard of a batch."""

    service: str
    #: Answer of the target; None if the attempt failed.
    answer: TargetAnswer | None
    #: Identity of the target if it says that it leaves, else empty.
    leaving: str = ''


class ShardTasks:
    """The attempts at the shards of one batch, each a task.

    Ended tasks are queued, so that waiting for the next one does not depend
    on the number of unfinished ones.
    """

    def __init__(
        self, attempts: Iterable[Coroutine[None, None, ShardResult]]
    ) -> None:
        """Start a task for each attempt."""
        self._ended: asyncio.Queue[asyncio.Task[ShardResult]] = asyncio.Queue()
        self._tasks = [asyncio.create_task(attempt) for attempt in attempts]
        for task in self._tasks:
            task.add_done_callback(self._ended.put_nowait)
        self._pending = len(self._tasks)

    @property
    def pending(self) -> int:
        """Number of tasks whose results were not returned yet."""
        return self._pending

    async def next_results(
        self, timeout_s: float | None = None
    ) -> list[ShardResult]:
        """Return the results of the tasks that end next.

        The list is empty if none ends within ``timeout_s`` seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                ended = [await self._ended.get()]
        except TimeoutError:
            return []
        while not self._ended.empty():
            ended.append(self._ended.get_nowait())
        self._pending -= len(ended)
        return [task.result() for task in ended]

    def cancel(self) -> None:
        """Cancel the unfinished tasks."""
        for task in self._tasks:
            task.cancel()


async def collect_in_time(
    tasks: ShardTasks,
    stragglers: StragglerDetector,
    started_at: float,
    late_s: float,
) -> list[ShardResult]:
    """Return the shards that end before the remaining ones are late.

    A shard is late by comparison with its siblings once enough of them have
    answered, and ``late_s`` seconds after ``started_at`` until then.
    """
    shards: list[ShardResult] = []
    while tasks.pending:
        timeout_s = (
            stragglers.late_s if stragglers.has_sibling_baseline else late_s
        )
        left_s = started_at + timeout_s - time.monotonic()
        if left_s <= 0:
            break
        shards.extend(await tasks.next_results(left_s))
    return shards


def log_batch(
    request: GatherRequest,
    shards: list[ShardResult],
    sent: int,
    stragglers: StragglerDetector,
    started_at: float,
) -> None:
    """Log how many shards of a batch were answered in time."""
    log_event(
        'batch_served',
        {
            'id': request.request_id,
            'route': request.route,
            'shards': len(request.services),
            'answered': sum(1 for shard in shards if shard.answer),
            'sent': sent,
            'late_after_ms': stragglers.late_s * MS_PER_S,
            'took_ms': (time.monotonic() - started_at) * MS_PER_S,
        },
    )


class ReplyWriter:
    """Writes the replies to one batch to the stream it came on."""

    def __init__(
        self,
        request: GatherRequest,
        frames: FrameWriter,
        freshness: Callable[[], Freshness],
    ) -> None:
        """Create a writer; ``freshness`` is read for each reply."""
        self._request = request
        self._frames = frames
        self._floor = request.floor
        self._freshness = freshness

    def decline(
        self,
        retry_after_s: Mapping[str, float],
        unreachable: tuple[str, ...],
        *,
        final: bool,
    ) -> None:
        """Send the services whose targets do not get the request.

        ``retry_after_s`` maps each to the time after which a target may be
        free, in seconds; ``unreachable`` has those without a path from this
        host to their targets.
        """
        freshness = self._freshness()
        self._write(
            GatherDeclined(
                number=self._request.number,
                retry_after_ms={
                    service: math.ceil(wait_s * MS_PER_S)
                    for service, wait_s in retry_after_s.items()
                },
                final=final,
                revision=freshness.revision,
                age_ms=freshness.age_ms,
                unreachable=unreachable,
                era=freshness.era,
            ),
        )

    def answer(
        self,
        shards: list[ShardResult],
        work_s: float,
        *,
        merged: bool,
        final: bool,
    ) -> None:
        """Send the records and signatures of finished shards.

        If ``merged``, the records are merged into one body; otherwise each
        shard has a body of its own. Records that cannot be in the caller's
        answer are left out.
        """
        signatures: dict[str, str] = {}
        bodies: dict[str, bytes] = {}
        failed: list[str] = []
        for shard in shards:
            if shard.answer is None:
                failed.append(shard.service)
                continue
            signatures[shard.service] = shard.answer.signature
            bodies[shard.service] = self._trim(shard.answer.body)
        body = b''
        if merged:
            body = merge_records(bodies.values(), self._request.top_records)
            bodies = {}
            # Records of late shards that do not exceed the least of these
            # cannot be in the answer.
            self._floor = top_records_floor([body], self._request.top_records)
        freshness = self._freshness()
        self._write(
            GatherReply(
                number=self._request.number,
                signatures=signatures,
                body=body,
                bodies=bodies,
                failed=tuple(failed),
                final=final,
                work_s=work_s,
                revision=freshness.revision,
                age_ms=freshness.age_ms,
                era=freshness.era,
                leaving=tuple(
                    shard.leaving for shard in shards if shard.leaving
                ),
            ),
        )

    def _trim(self, body: bytes) -> bytes:
        merged = merge_records([body], self._request.top_records)
        return drop_below(merged, self._floor)

    def _write(self, reply: GatherReply | GatherDeclined) -> None:
        self._frames.write(encode(reply))


async def send_late_shards(
    tasks: ShardTasks,
    stragglers: StragglerDetector,
    replies: ReplyWriter,
) -> None:
    """Send the results of late shards as they end, not merged."""
    while tasks.pending:
        shards = await tasks.next_results()
        replies.answer(
            shards,
            stragglers.work_s,
            merged=False,
            final=not tasks.pending,
        )
