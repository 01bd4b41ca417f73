"""Reads response bodies with limits on their length and on their sum."""

import aiohttp

from oriolestage._statuses import check_status

#: Largest body accepted from a target or the store, in bytes.
MAX_BODY_BYTES = 8 * 1024 * 1024
#: Largest sum of the bodies that are being received by one client, in bytes.
MAX_HELD_BYTES = 50_000_000
#: A body that is no longer than this is accepted beyond that sum, in bytes, so
#: that a few long ones cannot make all others fail.
ALWAYS_ACCEPTED_BYTES = 65_536


class BodyReader:
    """Reads the bodies of all responses to one client."""

    def __init__(self) -> None:
        """Start without bodies."""
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes received so far of the bodies that are not complete."""
        return self._held_bytes

    async def read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the body of a response.

        Raises ``ValueError`` for a status that no response may have, and as
        soon as the body is longer than `MAX_BODY_BYTES`, or if all bodies
        together are longer than `MAX_HELD_BYTES`; the connection is then
        closed when the response is released.
        """
        check_status(response.status)
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in response.content.iter_any():
                size += len(chunk)
                self._held_bytes += len(chunk)
                self._check(size)
                chunks.append(chunk)
        finally:
            self._held_bytes -= size
        return b''.join(chunks)

    def _check(self, size: int) -> None:
        """Raise ``ValueError`` if a body of so many bytes may not go on."""
        if size > MAX_BODY_BYTES:
            raise ValueError(f'body over {MAX_BODY_BYTES} bytes')
        if size > ALWAYS_ACCEPTED_BYTES and self._held_bytes > MAX_HELD_BYTES:
            raise ValueError(f'bodies over {MAX_HELD_BYTES} bytes together')
