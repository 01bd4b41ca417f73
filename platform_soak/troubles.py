"""Troubles that a target has, and what it says of them in its answers."""

import asyncio
import dataclasses
import random
import time

from platform_soak.record import Record

#: A target that pauses does so at this interval and for so long, in seconds.
PAUSE_INTERVAL_S = 4.5
PAUSE_S = 0.2


@dataclasses.dataclass(slots=True)
class Troubles:
    """What is wrong with a target."""

    #: How its answers are broken; empty if they are not.
    broken_way: str = ''
    #: Requests a second that it takes (``Server-Limit``); None if it does not
    #: say.
    limit_per_s: float | None = None
    #: Time for which callers that it turns away keep off, in seconds; 0 if it
    #: turns nobody away.
    retry_after_s: int = 0
    is_pausing: bool = False
    #: Share of its answers that are failures, beside `broken_way`.
    failing_share: float = 0

    def draw_way(self) -> str:
        """Return how the next answer is broken; empty if it is not."""
        if random.random() < self.failing_share:
            return 'status_500'
        return self.broken_way

    def say(
        self, record: Record, attempt: str, identity: str, *, leaving: bool
    ) -> dict[str, str]:
        """Return the headers of an answer; record what they say."""
        named: dict[str, str] = {}
        if self.limit_per_s is not None:
            named['Server-Limit'] = str(self.limit_per_s)
            record.add(
                'said_limit',
                attempt=attempt,
                server=identity,
                per_s=self.limit_per_s,
            )
        if leaving:
            named['Server-Leaving'] = '1'
            record.add('said_leaving', attempt=attempt, server=identity)
        return named

    async def wait_out_pause(self) -> None:
        """Wait for the end of a pause, if there is one."""
        into_s = time.monotonic() % PAUSE_INTERVAL_S
        if self.is_pausing and into_s < PAUSE_S:
            await asyncio.sleep(PAUSE_S - into_s)
