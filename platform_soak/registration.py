"""The entry of a target in the store."""

import asyncio
import time
from collections.abc import Mapping

from platform_soak.store import Store

#: Interval of a target's writes to the store, in seconds (``heartbeatMs``).
BEAT_S = 1.2
#: Intervals of silence after which its entry is removed.
BEATS_TO_REMOVAL = 3
#: Version of targets that no roll-out has started.
USUAL_VERSION = 'v1'


class Registration:
    """Keeps the entry of one incarnation of a target."""

    def __init__(
        self, store: Store, identity: str, document: Mapping[str, object]
    ) -> None:
        """Create an entry that is not written yet."""
        self._store = store
        self._key = f'servers/{identity}'
        self._document = dict(document)
        self._sequence = 0
        self._beats: asyncio.Task[None] | None = None
        self._lapse: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Write the entry again and again."""
        self._beats = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """Write it no more."""
        if self._beats is not None:
            self._beats.cancel()

    def lapse(self) -> None:
        """Remove the entry after some intervals without a word."""
        self.stop()
        self._lapse = asyncio.create_task(self._remove_later())

    async def announce_leaving(self) -> None:
        """Say that the target leaves."""
        self._document['state'] = 'draining'
        await self._put()

    async def remove(self) -> None:
        """Remove the entry."""
        self.stop()
        await self._store.remove(self._key)

    async def _beat(self) -> None:
        while True:
            await self._put()
            await asyncio.sleep(BEAT_S)

    async def _put(self) -> None:
        self._sequence += 1
        document = {**self._document, 'sequence': self._sequence}
        await self._store.put(self._key, document)

    async def _remove_later(self) -> None:
        await asyncio.sleep(BEAT_S * BEATS_TO_REMOVAL)
        await self._store.remove(self._key)


def describe_target(
    service: str, address: str, zone: str, version: str, slots: int
) -> dict[str, object]:
    """Return the entry of a target that has just started."""
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': version,
        'concurrencyLimit': slots,
        'state': 'ready',
        'warmupLeftMs': 0,
        'born': int(time.time() * 1000),
    }
