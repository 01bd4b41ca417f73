"""HTTP client for the operator interface of the daemons."""

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

#: Timeout of a request, in seconds; a requested wait is added to it.
ANSWER_TIMEOUT_S = 10.0
#: Timeout for connecting to a daemon, in seconds.
CONNECT_TIMEOUT_S = 2.0

ChangeReply = (
    ChangeAccepted | ChangeConflict | ChangeRefused | ChangeUnknown | ErrorView
)


class DaemonClient:
    """Sends each request to the first daemon that accepts a connection.

    Methods raise :class:`DaemonUnreachableError` if there is no response.
    """

    def __init__(self, hosts: Sequence[str]) -> None:
        """Create a client; ``hosts`` are operator addresses as ``ip:port``.

        They are tried in this order.
        """
        self._hosts = tuple(hosts)

    async def view(self) -> NodeView:
        """Return the state of a daemon and its view of hosts and targets."""
        content = await self._request('GET', '/v1/view', b'', 0)
        return msgspec.json.decode(content, type=NodeView)

    async def change(self, request: ChangeRequest) -> ChangeOutcome | ErrorView:
        """Request a change of the configuration and return its outcome."""
        body = msgspec.json.encode(request)
        content = await self._request('POST', '/v1/changes', body, 0)
        return msgspec.json.decode(content, type=ChangeReply)

    async def in_force(self, revision: int, wait_ms: int) -> InForceReport:
        """Wait until a revision is in force on all hosts, at most ``wait_ms``.

        Return on which hosts it is in force by then.
        """
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
                    # The daemon may have run the request: do not repeat it.
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
