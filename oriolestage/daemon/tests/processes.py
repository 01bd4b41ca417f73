"""Builders of small running systems for tests of the programs."""

import asyncio

from trial.layout import Layout, association, make_layout
from trial.processes import Trial, running_trial


def small_layout() -> Layout:
    """Build one entry host and few targets."""
    return make_layout([association(1)], host_count=1)


async def exchange_raw(address: str, request: bytes) -> bytes:
    """Send bytes to ``ip:port`` and read the first part of the response."""
    ip, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request)
    await writer.drain()
    response = await reader.read(65536)
    writer.close()
    return response


__all__ = ('Trial', 'exchange_raw', 'running_trial', 'small_layout')
