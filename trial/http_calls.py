"""HTTP calls to the daemons and stand-ins of a trial."""

import asyncio
import contextlib

import aiohttp
import msgspec

#: Time within which a process must become ready, in seconds.
READY_TIMEOUT_S = 30.0


async def wait_for_http(url: str) -> None:
    """Poll ``url`` until a GET returns status 200.

    Raise TimeoutError after ``READY_TIMEOUT_S`` seconds.
    """
    deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
    async with aiohttp.ClientSession() as session:
        while asyncio.get_running_loop().time() < deadline:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)
    raise TimeoutError(f'{url} was not ready within {READY_TIMEOUT_S} s')


async def post(url: str, content: object) -> None:
    """Send ``content`` as JSON; raise ClientResponseError on error status."""
    async with aiohttp.ClientSession() as session:
        body = msgspec.json.encode(content)
        async with session.post(url, data=body) as response:
            response.raise_for_status()


async def get_json(url: str) -> dict:
    """Return the decoded JSON document at ``url``."""
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return msgspec.json.decode(await response.read())
