"""Waits for the shards of one batch and writes the replies."""

import asyncio
import dataclasses
import math
import time
from collections.abc import Callable, Mapping

from oriolestage._logging import log_event
from oriolestage.entry._compressed_frames import FrameWriter
from oriolestage.entry._peer_messages import (
    GatherDeclined,
    GatherReply,
    GatherRequest,
    encode,
)
from oriolestage.relay._answers import TargetAnswer
from oriolestage.relay._beliefs import Freshness
from oriolestage.relay._merge import drop_below, floor_of, merge_records
from oriolestage.relay._stragglers import WorkWatch

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ShardResult:
    """One shard of a batch and what became of it."""

    service: str
    #: The answer; None if the shard failed.
    answer: TargetAnswer | None


async def collect_in_time(
    pending: set[asyncio.Task[ShardResult]],
    watch: WorkWatch,
    started: float,
    late_s: float,
) -> list[ShardResult]:
    """Wait until all shards are over or the others are late.

    Removes from ``pending`` what is over.
    """
    shards: list[ShardResult] = []
    while pending:
        limit_s = watch.late_s if watch.compared else late_s
        left_s = started + limit_s - time.monotonic()
        if left_s <= 0:
            break
        shards.extend(await _next_done(pending, left_s))
    return shards


async def _next_done(
    pending: set[asyncio.Task[ShardResult]],
    limit_s: float | None = None,
) -> list[ShardResult]:
    """Wait for the next shards and remove them from ``pending``."""
    done, _ = await asyncio.wait(
        pending,
        timeout=limit_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    pending -= done
    return [task.result() for task in done]


def log_batch(
    request: GatherRequest,
    shards: list[ShardResult],
    sent: int,
    watch: WorkWatch,
    started: float,
) -> None:
    """Log what was in time."""
    log_event(
        'batch_served',
        {
            'id': request.request_id,
            'route': request.route,
            'shards': len(request.services),
            'answered': sum(1 for shard in shards if shard.answer),
            'sent': sent,
            'late_after_ms': watch.late_s * MS_PER_S,
            'took_ms': (time.monotonic() - started) * MS_PER_S,
        },
    )


class ReplyWriter:
    """Writes the replies to one batch on its stream."""

    def __init__(
        self,
        request: GatherRequest,
        frames: FrameWriter,
        freshness: Callable[[], Freshness],
    ) -> None:
        """Reply to ``request``; replies tell how new this host's view is."""
        self._request = request
        self._frames = frames
        self._floor = request.floor
        self._freshness = freshness

    def decline(
        self, room_after_s: Mapping[str, float], *, final: bool
    ) -> None:
        """Name the shards that do not get the request."""
        freshness = self._freshness()
        self._write(
            GatherDeclined(
                number=self._request.number,
                retry_after_ms={
                    service: math.ceil(wait_s * MS_PER_S)
                    for service, wait_s in room_after_s.items()
                },
                final=final,
                revision=freshness.revision,
                age_ms=freshness.age_ms,
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
        """Give the records and signatures of the shards that are over."""
        signatures: dict[str, str] = {}
        bodies: dict[str, bytes] = {}
        failed: list[str] = []
        for shard in shards:
            if shard.answer is None:
                failed.append(shard.service)
                continue
            signatures[shard.service] = shard.answer.signature
            bodies[shard.service] = self._useful(shard.answer.body)
        body = b''
        if merged:
            body = merge_records(bodies.values(), self._request.top_records)
            bodies = {}
            # What late shards have below these is not in the answer.
            self._floor = floor_of([body], self._request.top_records)
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
            ),
        )

    def _useful(self, body: bytes) -> bytes:
        merged = merge_records([body], self._request.top_records)
        return drop_below(merged, self._floor)

    def _write(self, reply: GatherReply | GatherDeclined) -> None:
        self._frames.write(encode(reply))


async def send_late_shards(
    pending: set[asyncio.Task[ShardResult]],
    watch: WorkWatch,
    replies: ReplyWriter,
) -> None:
    """Send each late shard as it comes, by itself."""
    while pending:
        shards = await _next_done(pending)
        replies.answer(
            shards,
            watch.work_s,
            merged=False,
            final=not pending,
        )
