"""Carries out a planned stop: finishes requests before the host is killed."""

import asyncio
import time

from oriolestage._logging import log_event
from oriolestage.entry._caller_server import CallerServer
from oriolestage.entry._peer_requests import PeerRequests
from oriolestage.entry._request_router import RequestRouter
from oriolestage.routing._stop_plan import (
    StopObservation,
    StopPhase,
    StopTimes,
    next_phase,
)

#: Interval of checking for open connections and requests, in seconds.
STOP_POLL_INTERVAL_S = 0.02


class PlannedStop:
    """Leads a host through the phases of its stop."""

    def __init__(
        self,
        times: StopTimes,
        router: RequestRouter,
        callers: CallerServer,
        peer_requests: PeerRequests,
    ) -> None:
        """Prepare a stop with the given times."""
        self._times = times
        self._router = router
        self._callers = callers
        self._peer_requests = peer_requests
        self._phase = StopPhase.ANNOUNCING

    async def run(self) -> int:
        """Return once everything has ended or has to be cut.

        Returns the number of requests that were cut.
        """
        times = self._times
        log_event(
            'stopping',
            {
                'step': 'stop',
                'in_flight': self._router.in_flight,
                'other_hosts': len(self._peer_requests),
                'connections': len(self._callers.connections),
                'announced_s': times.announced_at - times.started_at,
                'requests_end_s': times.requests_end_at - times.started_at,
                'answers_end_s': times.answers_end_at - times.started_at,
                'killed_s': times.grace_s,
            },
        )
        self._router.end_by(times.requests_end_at)
        self._peer_requests.end_by(times.requests_end_at)
        self._callers.end_by(times.requests_end_at)
        self._callers.start_draining()
        while self._phase != StopPhase.STOPPED:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            self._advance(time.monotonic())
        cut_count = await self._callers.close()
        return (
            cut_count + self._peer_requests.log_cut() + self._router.cut_count
        )

    def _advance(self, now: float) -> None:
        """Enter the next phase if it is due, and do the phase's work."""
        connections = self._callers.connections
        seen = StopObservation(
            len(connections) + len(self._peer_requests),
            connections.accepted_at,
        )
        phase = next_phase(self._phase, self._times, seen, now)
        if phase != self._phase:
            self._phase = phase
            log_event(
                'stop_phase',
                {
                    'step': 'stop',
                    'phase': phase.value,
                    'after_s': now - self._times.started_at,
                    'in_flight': self._router.in_flight,
                    'unfinished': seen.unfinished,
                },
            )
        match phase:
            case StopPhase.FINISHING:
                self._callers.stop_accepting()
                connections.close_idle()
            case StopPhase.ANSWERING:
                connections.refuse_heads()
                connections.close_idle()
