"""Reports broken and answered attempts to the crash detector."""

import asyncio
import time
from typing import Protocol

from oriolestage._logging import log_event
from oriolestage.entry._ports import Store, StoreError
from oriolestage.entry._target_client import TargetCall
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._crash_detector import (
    QUARANTINE_S,
    CrashDetector,
    fingerprint_of,
)

#: Interval at which detected crashes are written to the store, in seconds. It
#: is short against the propagation limit, which is a few seconds.
REPORT_INTERVAL_S = 0.2


class AttemptSender(Protocol):
    """Sends attempts to targets."""

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Send an attempt and return its outcome."""


class CrashTrackingSender:
    """Sends attempts and reports their outcomes to the crash detector.

    A target that refuses a connection counts as down if any target has
    responded since its connection broke; otherwise the host itself may have
    lost its links.
    """

    def __init__(self, sender: AttemptSender, detector: CrashDetector) -> None:
        """Create a sender that wraps ``sender``."""
        self._sender = sender
        self._detector = detector
        #: Monotonic time of the latest response of any target.
        self._responded_at = float('-inf')

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Send an attempt, report its outcome and return it."""
        outcome = await self._sender.send(call)
        now = time.monotonic()
        match outcome:
            case AttemptAnswered():
                self._responded_at = now
                self._detector.record_answered(call.fingerprint)
            case AttemptLost(broken=True):
                self._detector.record_connection_loss(
                    call.fingerprint, call.target, now
                )
            case AttemptNotRun(reason=NotRunReason.NOT_REACHED):
                self._detector.record_target_down(
                    call.target, now, lost_before=self._responded_at
                )
        return outcome


class CrashReporter:
    """Writes detected crashes to the store, where other hosts read them."""

    def __init__(self, store: Store, detector: CrashDetector) -> None:
        """Create a reporter of the crashes that ``detector`` has found."""
        self._store = store
        self._detector = detector

    async def run(self) -> None:
        """Report crashes until cancelled.

        If the store fails, the reports are logged and dropped.
        """
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            reports = self._detector.take_reports()
            if not reports:
                continue
            try:
                lease = await self._store.open_lease(QUARANTINE_S)
                await self._store.report_crashes(reports, lease)
            except StoreError as error:
                # Not repeated: other hosts detect the crashes themselves if
                # the request reaches them.
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
    """Return the fingerprint of a request, taking the host from its headers."""
    host = ''
    for name, text in headers:
        if name.lower() == 'host':
            host = text.partition(':')[0]
    return fingerprint_of(method, host, path, body)
