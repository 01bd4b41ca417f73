"""Reads response bodies with a limit on their length."""

import aiohttp

from oriolestage._statuses import check_status

#: Largest body accepted from a target or the store, in bytes.
MAX_BODY_BYTES = 8 * 1024 * 1024


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response.

    Raises ``ValueError`` for a status that no response may have, and as soon
    as the body is longer than `MAX_BODY_BYTES`; the connection is then closed
    when the response is released.
    """
    check_status(response.status)
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise ValueError(f'body over {MAX_BODY_BYTES} bytes')
        chunks.append(chunk)
    return b''.join(chunks)
