"""Helpers for tests that run the programs as processes."""

import asyncio

from trial.layout import Layout, association, make_layout
from trial.processes import Trial, running_trial


def small_layout() -> Layout:
    """Return a layout of one entry host and the targets of one association."""
    return make_layout([association(1)], host_count=1)


async def exchange_raw(address: str, request: bytes) -> bytes:
    """Send bytes to ``ip:port``; return up to 64 KiB of the response."""
    ip, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request)
    await writer.drain()
    response = await reader.read(65536)
    writer.close()
    return response


__all__ = ('Trial', 'exchange_raw', 'running_trial', 'small_layout')
