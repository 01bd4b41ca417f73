"""The requests of other hosts in flight, which a planned stop ends in time."""

import asyncio
import time
from collections.abc import Callable, Coroutine

from oriolestage._logging import log_event
from oriolestage.entry._compressed_frames import FrameWriter
from oriolestage.entry._peer_messages import (
    GatherRequest,
    RelayNotRun,
    RelayRequest,
    encode,
)
from oriolestage.entry._shard_gathering import ReplyWriter
from oriolestage.routing._state_changes import Freshness

#: Retry-after for a batch that may outlast this host, in seconds. Other hosts
#: can take it at once.
STOPPING_RETRY_AFTER_S = 0.05


class PeerRequests:
    """Runs requests of other hosts and declines those that may last too long."""

    def __init__(self, freshness: Callable[[], Freshness]) -> None:
        """Start without requests, at a host that is not being stopped.

        ``freshness`` is read for each reply.
        """
        self._freshness = freshness
        #: Monotonic time at which this host ends; infinite without a stop.
        self._ends_at = float('inf')
        self._running: dict[asyncio.Task[None], GatherRequest | RelayRequest]
        self._running = {}

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._running)

    def end_by(self, ends_at: float) -> None:
        """Decline requests that may last longer from now on."""
        self._ends_at = ends_at

    def outlasts_host(self, request: GatherRequest | RelayRequest) -> bool:
        """Return whether a new request may last longer than this host."""
        return time.monotonic() + request.time_left_s > self._ends_at

    def decline(
        self, request: GatherRequest | RelayRequest, frames: FrameWriter
    ) -> None:
        """Reply that a request was not run; other hosts may serve it."""
        match request:
            case RelayRequest(number=number):
                frames.write(encode(RelayNotRun(number, shed=False)))
            case GatherRequest(services=services):
                waits = dict.fromkeys(services, STOPPING_RETRY_AFTER_S)
                replies = ReplyWriter(request, frames, self._freshness)
                replies.decline(waits, services, final=True)

    def start(
        self,
        request: GatherRequest | RelayRequest,
        work: Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        """Serve a request in a task, which is returned."""
        task = asyncio.create_task(work)
        self._running[task] = request
        task.add_done_callback(lambda _: self._running.pop(task, None))
        return task

    def log_cut(self) -> int:
        """Log the requests that are cut by closing now; return their number."""
        for request in self._running.values():
            log_event(
                'request_cut',
                {
                    'step': 'stop',
                    'phase': 'other_host',
                    'id': request.request_id,
                    'route': request.route,
                },
            )
        return len(self._running)
