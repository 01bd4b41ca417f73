"""Reports broken and answered attempts to the crash detector."""

import asyncio
import itertools
import random
import time
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

from oriolestage._logging import log_event
from oriolestage.entry._ports import (
    AnswerRejectedError,
    Lease,
    LeaseEndedError,
    Store,
    StoreError,
)
from oriolestage.entry._target_client import TargetCall
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._crash_detector import (
    REPORT_LIFETIME_S,
    REPORTS_LIMIT,
    CrashDetector,
    QuarantineReport,
    fingerprint_of,
)
from oriolestage.routing._trials import TrialReport

#: Interval at which detected crashes are written to the store, in seconds. It
#: is short against the propagation limit, which is a few seconds.
REPORT_INTERVAL_S = 0.2
#: Mean time after which failed reports are repeated, in seconds, and the range
#: of the random factor on it.
RETRY_INTERVAL_S = 0.75
RETRY_JITTER = (0.7, 1.3)
#: Time for which reports are repeated, in seconds. A request that still comes
#: is reported again after that.
REPORT_TIMEOUT_S = 30.0
#: Time within which the store has to answer the claim of a trial, in seconds.
#: The request waits for it.
CLAIM_TIMEOUT_S = 1.0
#: Claims that may wait for the store at once.
CLAIMS_LIMIT = 8
#: Reports that may wait for the store.
WAITING_LIMIT = 300
#: Time for which reports are written under one lease, in seconds.
LEASE_USE_S = 10.0
#: Longest time after which a call without an answer may still be done, in
#: seconds.
LATEST_WRITE_S = 8.0
#: Time to live of these leases, in seconds.
LEASE_TTL_S = REPORT_LIFETIME_S + LEASE_USE_S + LATEST_WRITE_S


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
        # A call that is cancelled may have been delivered.
        self._detector.record_sent(call.fingerprint)
        outcome = await self._sender.send(call)
        now = time.monotonic()
        process = call.process or call.target
        match outcome:
            case AttemptAnswered(answer=answer):
                self._responded_at = now
                # A failing target may answer without having run the request.
                if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                    self._detector.record_answered(call.fingerprint)
            case AttemptLost(broken=True):
                self._detector.record_connection_loss(
                    call.fingerprint, process, now
                )
            case AttemptNotRun(reason=NotRunReason.NOT_REACHED):
                self._detector.record_not_sent(call.fingerprint)
                self._detector.record_target_down(
                    process, now, lost_before=self._responded_at
                )
        return outcome


class CrashReporter:
    """Writes the reports of the crash detector to the store.

    Other hosts read them there. A call that is not answered may be done
    seconds later: it is repeated, and under the same lease, so that it does
    not matter which of them are done. The lease lives so long beyond the
    quarantine that a late report of another host under an older lease, which
    takes the key of a newer report, still lasts as long as that.
    """

    def __init__(self, store: Store, detector: CrashDetector) -> None:
        """Create a reporter of the crashes that ``detector`` has found."""
        self._store = store
        self._detector = detector
        #: Monotonic time since which each report waits.
        self._waiting: dict[QuarantineReport, float] = {}
        self._retry_at = float('-inf')
        self._lease: Lease | None = None
        self._lease_opened_at = float('-inf')
        self._claims = 0

    async def claim_trial(self, trial: TrialReport) -> bool:
        """Return whether this host alone may run a request as a trial.

        It may not if the store does not answer in time: another host may have
        claimed the trial.
        """
        if self._claims >= CLAIMS_LIMIT:
            return False
        self._claims += 1
        problem: Exception | None = None
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                lease = await self._usable_lease(time.monotonic())
                await self._store.claim_trial(trial, lease)
        except LeaseEndedError as error:
            self._lease = None
            problem = error
        except AnswerRejectedError as error:
            # Another host has claimed it.
            self._detector.record_report(trial, time.monotonic())
            problem = error
        except (StoreError, TimeoutError) as error:
            problem = error
        finally:
            self._claims -= 1
        log_event(
            'trial_claimed' if problem is None else 'trial_not_claimed',
            {
                'fingerprint': f'{trial.fingerprint:016x}',
                'number': trial.number,
                'error': 'none' if problem is None else repr(problem),
            },
        )
        return problem is None

    async def run(self) -> None:
        """Report crashes until cancelled.

        If the store fails, the reports are repeated for `REPORT_TIMEOUT_S`.
        """
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            now = time.monotonic()
            self._detector.log_quiet(now)
            for report in self._detector.take_reports():
                self._waiting.setdefault(report, now)
            self._drop_old(now)
            if self._waiting and now >= self._retry_at:
                await self._report(now)

    async def _report(self, now: float) -> None:
        batch = tuple(itertools.islice(self._waiting, REPORTS_LIMIT))
        try:
            lease = await self._usable_lease(now)
            await self._store.report_crashes(batch, lease)
        except LeaseEndedError as error:
            self._lease = None
            self._delay(batch, error)
        except StoreError as error:
            self._delay(batch, error)
        else:
            for report in batch:
                self._waiting.pop(report)

    async def _usable_lease(self, now: float) -> Lease:
        if self._lease is None or now - self._lease_opened_at > LEASE_USE_S:
            self._lease = await self._store.open_lease(LEASE_TTL_S)
            self._lease_opened_at = now
        return self._lease

    def _delay(
        self, batch: Sequence[QuarantineReport], error: StoreError
    ) -> None:
        self._retry_at = time.monotonic() + (
            RETRY_INTERVAL_S * random.uniform(*RETRY_JITTER)
        )
        log_event(
            'crash_reports_delayed', {'reports': len(batch), 'error': error}
        )

    def _drop_old(self, now: float) -> None:
        """Drop reports that waited for long, and those beyond the limit."""
        dropped = [
            report
            for number, (report, since) in enumerate(self._waiting.items())
            if now - since > REPORT_TIMEOUT_S or number >= WAITING_LIMIT
        ]
        for report in dropped:
            self._waiting.pop(report)
        if dropped:
            log_event('crashes_not_reported', {'reports': len(dropped)})


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
