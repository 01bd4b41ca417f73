"""Counts the outcomes of attempts for roll-outs."""

import asyncio
import itertools
import time
from collections.abc import Callable

from oriolestage.entry._crash_tracking import AttemptSender
from oriolestage.entry._target_client import TargetCall
from oriolestage.rollouts._evidence import AttemptEnd, OwnEvidence
from oriolestage.routing._answers import (
    FIRST_SERVER_ERROR,
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
)
from oriolestage.routing._placement import Placement
from oriolestage.routing._targets import KnownTarget

#: Attempts at services without an order of which one is counted: they only
#: show the typical processing time, and a query has an attempt for each shard.
SAMPLED_ONE_OF = 8
#: Step of an attempt that ended at the deadline of its request.
DEADLINE_STEP = 'target.deadline'


class RolloutCountingSender:
    """Sends attempts and counts them by service, version and route.

    All attempts of this host pass here, also those for other hosts.
    """

    def __init__(
        self,
        sender: AttemptSender,
        own: OwnEvidence,
        placement: Placement,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a sender that wraps ``sender``."""
        self._sender = sender
        self._own = own
        self._placement = placement
        self._clock = clock
        #: Attempts at services without an order.
        self._uncounted = itertools.count()

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Send an attempt, count it and return its outcome."""
        target = self._placement.directory.find_with_removed(call.target)
        if target is None:
            return await self._sender.send(call)
        # An update of the registration replaces the record.
        record = target.record
        if not self._own.counts_for(record.service) and (
            next(self._uncounted) % SAMPLED_ONE_OF
        ):
            return await self._sender.send(call)
        self._own.record_sent(record.service, record.version)
        try:
            outcome = await self._sender.send(call)
        except asyncio.CancelledError:
            self._count(call, target, abandoned=True)
            raise
        match outcome:
            case AttemptAnswered(answer=answer):
                failed = answer.status >= FIRST_SERVER_ERROR
                self._count(call, target, failed=failed)
            case AttemptLost(step=step):
                late = step == DEADLINE_STEP
                self._count(call, target, failed=not late, abandoned=late)
            case AttemptNotRun():
                # A refusal of load says nothing about the version.
                return outcome
        return outcome

    def _count(
        self,
        call: TargetCall,
        target: KnownTarget,
        *,
        failed: bool = False,
        abandoned: bool = False,
    ) -> None:
        """Count the end of an attempt that was sent.

        Without any response of a target, the links of this host are lost.
        """
        sent_at = call.timer.sent_at
        observations = self._placement.observations
        unreached = failed or abandoned
        if sent_at is None or (unreached and observations.reach.cut_off):
            return
        now = self._clock()
        record = target.record
        self._own.record_end(
            AttemptEnd(
                service=record.service,
                version=record.version,
                route=call.route,
                work_s=now - sent_at - observations.round_trip_s(target),
                failed=failed,
                abandoned=abandoned,
            ),
            now,
        )
