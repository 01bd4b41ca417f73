"""Sends attempts and keeps account of requests that crash targets."""

import asyncio
import time
from typing import Protocol

from oriolestage._logging import log_event
from oriolestage.entry._ports import Store, StoreError
from oriolestage.entry._target_client import TargetCall
from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.relay._crash_watch import (
    QUARANTINE_S,
    CrashWatch,
    fingerprint_of,
)

#: Time between two looks for crashes that other hosts have to know of, in
#: seconds; they have to be told within the time for changes, some seconds.
REPORT_INTERVAL_S = 0.2


class AttemptSender(Protocol):
    """What sends attempts to targets."""

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Send an attempt; give what became of it."""


class CrashTrackingSender:
    """Sends attempts and tells the crash watch what became of them."""

    def __init__(self, targets: AttemptSender, watch: CrashWatch) -> None:
        """Send through ``targets``."""
        self._targets = targets
        self._watch = watch

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Send an attempt; give what became of it."""
        outcome = await self._targets.send(call)
        now = time.monotonic()
        match outcome:
            case AttemptAnswered():
                self._watch.note_answered(call.fingerprint)
            case AttemptLost(broken=True):
                self._watch.note_broken(call.fingerprint, call.target, now)
            case AttemptNotRun(reason=NotRunReason.NOT_REACHED):
                self._watch.note_down(call.target, now)
        return outcome


class CrashReporter:
    """Tells the other hosts, through the store, of proved crashes."""

    def __init__(self, store: Store, watch: CrashWatch) -> None:
        """Report what ``watch`` has proved."""
        self._store = store
        self._watch = watch

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            reports = self._watch.take_reports()
            if not reports:
                continue
            try:
                lease = await self._store.open_lease(QUARANTINE_S)
                await self._store.report_crashes(reports, lease)
            except StoreError as error:
                # Without the store the others learn by their own losses.
                log_event(
                    'crashes_not_reported',
                    {'reports': len(reports), 'error': error},
                )


def fingerprint_from_headers(
    method: str,
    headers: tuple[tuple[str, str], ...],
    path: str,
    body: bytes,
) -> int:
    """Give the fingerprint of a request from its headers."""
    host = ''
    for name, text in headers:
        if name.lower() == 'host':
            host = text.partition(':')[0]
    return fingerprint_of(method, host, path, body)
