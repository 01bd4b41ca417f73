"""Sends batches of shards to entry hosts of other regions.

One stream to each host stays open, so a batch costs a single round trip, and
cancelling a batch does not close the stream.
"""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncGenerator, Callable

import msgspec

from oriolestage._logging import log_event
from oriolestage.entry._peer_link import PeerLink
from oriolestage.entry._peer_messages import GatherRequest, RelayRequest
from oriolestage.routing._answers import (
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._peers import LinkState
from oriolestage.routing._run_types import BatchLost, BatchOutcome

#: Lowest time left that is sent with a request, in seconds.
MIN_TIME_LEFT_S = 0.001


def _time_left_s(deadline: float) -> float:
    """Return the time left for a request that is sent now, in seconds.

    Opening a stream takes time, and the process may have been paused.
    """
    return max(MIN_TIME_LEFT_S, deadline - time.monotonic())


class PeerClient:
    """Keeps streams to other entry hosts and sends batches over them."""

    def __init__(self, on_leaving: Callable[[str], None]) -> None:
        """Create a client without streams.

        ``on_leaving`` is called with the identity of a target that another
        host has used and that says that it leaves.
        """
        self._on_leaving = on_leaving
        self._links: dict[str, PeerLink] = {}
        self._numbers = itertools.count(1)

    def close(self) -> None:
        """Close all streams."""
        for link in self._links.values():
            link.close('link.stop')

    async def gather(
        self,
        address: str,
        request: GatherRequest,
    ) -> AsyncGenerator[BatchOutcome, None]:
        """Send a batch to one host and yield its replies.

        ``request`` gets a number of its own. Closing the iterator early
        cancels the batch at the host.
        """
        deadline = time.monotonic() + request.time_left_s
        link = self._links.setdefault(
            address, PeerLink(address, self._on_leaving)
        )
        try:
            await link.open()
        except (OSError, TimeoutError) as error:
            yield BatchLost(f'link.{type(error).__name__}', not_sent=True)
            return
        numbered = msgspec.structs.replace(
            request,
            number=next(self._numbers),
            time_left_s=_time_left_s(deadline),
        )
        async with contextlib.aclosing(link.gather(numbered)) as replies:
            async for outcome in replies:
                yield outcome

    async def relay(
        self, address: str, request: RelayRequest
    ) -> AttemptOutcome:
        """Let one host send a request to a target; return the outcome.

        ``request`` gets a number of its own. Cancelling the call cancels it.
        """
        deadline = time.monotonic() + request.time_left_s
        link = self._links.setdefault(
            address, PeerLink(address, self._on_leaving)
        )
        try:
            await link.open()
        except (OSError, TimeoutError):
            return AttemptNotRun(NotRunReason.NOT_REACHED)
        return await link.relay(
            msgspec.structs.replace(
                request,
                number=next(self._numbers),
                time_left_s=_time_left_s(deadline),
            ),
        )

    async def check_links(self, addresses: set[str]) -> dict[str, LinkState]:
        """Open, ping and close streams; return their states by address.

        Streams to hosts that are not in ``addresses`` are closed once no
        request waits for a reply: a host that is being stopped finishes those
        that it has.
        """
        for address in self._links.keys() - addresses:
            if self._links[address].waiting_count:
                self._links[address].check_liveness()
                continue
            self._links.pop(address).close('link.unregistered')
        links = {
            address: self._links.setdefault(
                address, PeerLink(address, self._on_leaving)
            )
            for address in addresses
        }
        results = await asyncio.gather(
            *(link.open() for link in links.values()),
            return_exceptions=True,
        )
        for address, error in zip(links, results, strict=True):
            # A host that is not reached has no stream; that is its state.
            if error is not None and not isinstance(error, OSError):
                log_event(
                    'peer_link_failed',
                    {'step': 'link', 'peer': address, 'error': repr(error)},
                )
        return {
            address: link.check_liveness() for address, link in links.items()
        }
