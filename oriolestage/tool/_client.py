"""HTTP client for the operator interface of the daemons."""

from collections.abc import Sequence
from http import HTTPStatus

import aiohttp
import msgspec

from oriolestage.core import (
    ChangeAccepted,
    ChangeConflict,
    ChangeOutcome,
    ChangeRefused,
    ChangeUnknown,
    InForceReport,
    MalformedError,
    decode_json,
)
from oriolestage.tool._errors import AnswerLostError, DaemonUnreachableError
from oriolestage.views import ChangeRequest, ErrorView, NodeView

#: Timeout of a request, in seconds; a requested wait is added to it.
ANSWER_TIMEOUT_S = 10.0
#: Timeout for connecting to a daemon, in seconds.
CONNECT_TIMEOUT_S = 2.0
#: Longest text of an error, in characters; it may quote an answer.
MAX_ERROR_CHARACTERS = 300
#: Errors after which a daemon surely has not got the request.
NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)

ChangeReply = (
    ChangeAccepted | ChangeConflict | ChangeRefused | ChangeUnknown | ErrorView
)


class DaemonClient:
    """Sends each request to the first daemon that accepts a connection.

    Methods raise :class:`DaemonUnreachableError` if there is no response, and
    its subclass :class:`AnswerLostError` if the request may have been run.
    """

    def __init__(self, hosts: Sequence[str]) -> None:
        """Create a client; ``hosts`` are operator addresses as ``ip:port``.

        They are tried in this order.
        """
        self._hosts = tuple(hosts)

    async def view(self) -> NodeView:
        """Return the state of a daemon and its view of hosts and targets."""
        return await self._request('GET', '/v1/view', NodeView)

    async def change(self, request: ChangeRequest) -> ChangeOutcome | ErrorView:
        """Request a change of the configuration and return its outcome."""
        body = msgspec.json.encode(request)
        return await self._request('POST', '/v1/changes', ChangeReply, body)

    async def in_force(self, revision: int, wait_ms: int) -> InForceReport:
        """Wait until a revision is in force on all hosts, at most ``wait_ms``.

        Return on which hosts it is in force by then.
        """
        path = f'/v1/in-force/{revision}?wait_ms={wait_ms}'
        return await self._request(
            'GET', path, InForceReport, wait_s=wait_ms / 1000
        )

    async def _request(
        self,
        method: str,
        path: str,
        expected,
        body: bytes = b'',
        wait_s: float = 0,
    ):
        """Return the answer of a daemon, decoded as the expected type."""
        failures: list[str] = []
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S + wait_s,
            connect=CONNECT_TIMEOUT_S,
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for host in self._hosts:
                url = f'http://{host}{path}'
                try:
                    content = await _send(session, method, url, body)
                    return decode_json(content, expected)
                except NOT_CONNECTED as error:
                    failures.append(f'{host}: {error}')
                except (aiohttp.ClientError, TimeoutError) as error:
                    # The daemon may have run the request: do not repeat it.
                    raise AnswerLostError(
                        f'{host}: no answer: {error!r}'[:MAX_ERROR_CHARACTERS],
                    ) from error
                except MalformedError as error:
                    raise AnswerLostError(
                        f'{host}: the answer cannot be read: {error}',
                    ) from error
        raise DaemonUnreachableError('; '.join(failures))


async def _send(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: bytes,
) -> bytes:
    """Return the body of the answer.

    Raises `MalformedError` if the daemon failed to process the request.
    """
    async with session.request(method, url, data=body) as response:
        content = await response.read()
        if response.status == HTTPStatus.INTERNAL_SERVER_ERROR:
            text = content[:MAX_ERROR_CHARACTERS].decode(errors='replace')
            raise MalformedError(f'status {response.status}: {text}')
        return content
