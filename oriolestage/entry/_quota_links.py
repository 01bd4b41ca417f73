"""The streams on which quotas are exchanged with other hosts.

They are apart from those of requests: a long reply on the same stream would
delay the answer that a request waits for, and a host of an earlier version
closes a stream on which it gets a message that it does not know.
"""

import asyncio
import time
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.entry._peer_link import PeerLink
from oriolestage.entry._quota_wire import QuotaMessage, QuotaVerdicts

#: Time without an attempt to open a stream after one has failed, in seconds.
RETRY_S = 0.5
#: Time after the last message for which a stream is checked, in seconds.
CHECKED_S = 2.0
#: Time without a message after which a stream that is not needed is closed.
UNUSED_S = 60.0


class QuotaLinks:
    """Opens streams to grantors as they are needed."""

    def __init__(self, on_answer: Callable[[QuotaVerdicts], None]) -> None:
        """Create it without streams; ``on_answer`` gets the answers."""
        self._on_answer = on_answer
        self._links: dict[str, PeerLink] = {}
        self._opening: dict[str, asyncio.Task[None]] = {}
        self._failed_at: dict[str, float] = {}
        self._used_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of open streams."""
        return sum(1 for link in self._links.values() if link.is_open)

    def send(self, address: str, question: QuotaMessage) -> None:
        """Send a question, once the stream is open; it may be lost."""
        self._used_at[address] = time.monotonic()
        link = self._links.get(address)
        if link is not None and link.is_open:
            link.report(question)
            return
        self._start_opening(address, question)

    def maintain(self, wanted: set[str]) -> None:
        """Open streams to addresses, check those in use, close old ones."""
        now = time.monotonic()
        for address in wanted:
            if address not in self._links or not self._links[address].is_open:
                self._start_opening(address, None)
        for address, link in tuple(self._links.items()):
            unused_s = now - self._used_at.get(address, now)
            if unused_s < CHECKED_S:
                link.check_liveness()
            elif address not in wanted and unused_s > UNUSED_S:
                link.close('quota.unused')
                self._links.pop(address)
                self._used_at.pop(address, None)
                self._failed_at.pop(address, None)

    def close(self) -> None:
        """Close all streams."""
        for task in self._opening.values():
            task.cancel()
        for link in self._links.values():
            link.close('link.stop')

    def _start_opening(
        self, address: str, question: QuotaMessage | None
    ) -> None:
        failed_s = time.monotonic() - self._failed_at.get(address, 0)
        if address in self._opening or failed_s < RETRY_S:
            return
        task = asyncio.create_task(self._open(address, question))
        self._opening[address] = task
        task.add_done_callback(lambda _: self._opening.pop(address, None))

    async def _open(self, address: str, question: QuotaMessage | None) -> None:
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, _ignore, self._on_answer)
            self._links[address] = link
            self._used_at.setdefault(address, time.monotonic())
        try:
            await link.open()
        except (OSError, TimeoutError) as error:
            self._failed_at[address] = time.monotonic()
            log_event(
                'quota_link_failed',
                {'step': 'quota', 'peer': address, 'error': repr(error)},
            )
            return
        if question is not None:
            link.report(question)


def _ignore(_: str) -> None:
    """Do nothing."""
