"""Talks to the operator interface of daemons."""

from collections.abc import Sequence

import aiohttp
import msgspec

from oriolestage.core import (
    ChangeAccepted,
    ChangeConflict,
    ChangeOutcome,
    ChangeRefused,
    ChangeUnknown,
    InForceReport,
)
from oriolestage.tool._errors import DaemonUnreachableError
from oriolestage.views import ChangeRequest, ErrorView, NodeView

#: Longest wait for a daemon's answer besides what it is asked to wait.
ANSWER_TIMEOUT_S = 10.0
#: Longest wait for a connection to a daemon.
CONNECT_TIMEOUT_S = 2.0

ChangeReply = (
    ChangeAccepted | ChangeConflict | ChangeRefused | ChangeUnknown | ErrorView
)


class DaemonClient:
    """Asks the first daemon that can be reached."""

    def __init__(self, hosts: Sequence[str]) -> None:
        """Take operator addresses of daemons, as ``ip:port``."""
        self._hosts = tuple(hosts)

    async def view(self) -> NodeView:
        """Read everything that a daemon shows."""
        content = await self._request('GET', '/v1/view', b'', 0)
        return msgspec.json.decode(content, type=NodeView)

    async def change(self, request: ChangeRequest) -> ChangeOutcome | ErrorView:
        """Ask for a change of the configuration."""
        body = msgspec.json.encode(request)
        content = await self._request('POST', '/v1/changes', body, 0)
        return msgspec.json.decode(content, type=ChangeReply)

    async def in_force(self, revision: int, wait_ms: int) -> InForceReport:
        """Wait until a revision is in force everywhere, or for ``wait_ms``."""
        path = f'/v1/in-force/{revision}?wait_ms={wait_ms}'
        content = await self._request('GET', path, b'', wait_ms / 1000)
        return msgspec.json.decode(content, type=InForceReport)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes,
        wait_s: float,
    ) -> bytes:
        failures: list[str] = []
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S + wait_s,
            connect=CONNECT_TIMEOUT_S,
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for host in self._hosts:
                url = f'http://{host}{path}'
                try:
                    return await _send(session, method, url, body)
                except aiohttp.ClientConnectorError as error:
                    failures.append(f'{host}: {error}')
                except aiohttp.ConnectionTimeoutError:
                    failures.append(f'{host}: no connection in time')
                except (aiohttp.ClientError, TimeoutError) as error:
                    # The command may have been taken; do not ask another.
                    raise DaemonUnreachableError(
                        f'{host}: no answer: {error!r}',
                    ) from error
        raise DaemonUnreachableError('; '.join(failures))


async def _send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes,
) -> bytes:
    async with session.request(method, url, data=body) as response:
        return await response.read()
