"""Waits for the shards of one batch and writes the replies."""

import asyncio
import dataclasses
import time

import msgspec

from oriolestage._logging import log_event
from oriolestage.entry._peer_messages import (
    GatherReply,
    GatherRequest,
    encode_frame,
)
from oriolestage.relay._answers import TargetAnswer
from oriolestage.relay._merge import merge_records
from oriolestage.relay._stragglers import WorkWatch

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """One shard of a batch and what became of it."""

    service: str
    #: The answer; None if the shard failed.
    answer: TargetAnswer | None


async def shards_in_time(
    pending: set[asyncio.Task[Shard]],
    watch: WorkWatch,
    started: float,
    late_s: float,
) -> list[Shard]:
    """Wait until all shards are over or the others are late.

    Removes from ``pending`` what is over.
    """
    shards: list[Shard] = []
    while pending:
        limit_s = watch.late_s if watch.compared else late_s
        left_s = started + limit_s - time.monotonic()
        if left_s <= 0:
            break
        shards.extend(await _next_done(pending, left_s))
    return shards


async def send_late(
    request: GatherRequest,
    pending: set[asyncio.Task[Shard]],
    watch: WorkWatch,
    writer: asyncio.StreamWriter,
) -> None:
    """Send each late shard as it comes, by itself."""
    unmerged = msgspec.structs.replace(request, merged=False)
    while pending:
        shards = await _next_done(pending)
        reply = msgspec.structs.replace(
            reply_of(unmerged, shards, watch.work_s),
            final=not pending,
        )
        writer.write(encode_frame(reply))


async def _next_done(
    pending: set[asyncio.Task[Shard]],
    limit_s: float | None = None,
) -> list[Shard]:
    """Wait for the next shards and remove them from ``pending``."""
    done, _ = await asyncio.wait(
        pending,
        timeout=limit_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    pending -= done
    return [task.result() for task in done]


def log_served(
    request: GatherRequest,
    shards: list[Shard],
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


def reply_of(
    request: GatherRequest,
    shards: list[Shard],
    work_s: float,
) -> GatherReply:
    """Give the reply for the shards that are over."""
    signatures: dict[str, str] = {}
    bodies: dict[str, bytes] = {}
    failed: list[str] = []
    for shard in shards:
        if shard.answer is None:
            failed.append(shard.service)
            continue
        signatures[shard.service] = shard.answer.signature
        bodies[shard.service] = merge_records(
            [shard.answer.body],
            request.top_records,
        )
    body = b''
    if request.merged:
        body = merge_records(bodies.values(), request.top_records)
        bodies = {}
    return GatherReply(
        number=request.number,
        signatures=signatures,
        body=body,
        bodies=bodies,
        not_sent=(),
        failed=tuple(failed),
        final=False,
        work_s=work_s,
    )
