"""Tests of callers' connections while a host is being stopped."""

import asyncio
import dataclasses
import socket
import time
from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.entry import _caller_connection
from oriolestage.entry._caller_server import CallerServer
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.test_caller_wire import (
    HEAD,
    LIMITS,
    RecordingRouter,
)
from oriolestage.routing._answers import (
    Delivered,
    GiveUpReason,
    Refused,
    TargetAnswer,
)

REQUEST = f'GET /a/ HTTP/1.1\r\n{HEAD}\r\n'.encode()
#: Head of a request without a deadline, whose body does not follow.
HEAD_OF_BODY = b'POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n'
#: A time that no test takes, in seconds.
NEVER_S = 3600.0
#: Size of an answer that is larger than all buffers on the way, in bytes.
LARGE_ANSWER_BYTES = 32_000_000
#: Time within which a connection must make progress, in seconds.
TIMEOUT_S = 5.0


class CallerStopTest(IsolatedAsyncioTestCase):
    """No request that has reached the host is lost by closing."""

    async def asyncSetUp(self) -> None:
        """Start a server."""
        self._limits = LIMITS
        self._router = RecordingRouter()
        self._server = CallerServer(
            self._router,  # type: ignore[arg-type]
            PlatformWireProtocol(),
            lambda: self._limits,
        )
        listener = socket.create_server(('127.0.0.1', 0))
        listener.setblocking(False)
        await self._server.start(listener)
        self._address = listener.getsockname()

    async def asyncTearDown(self) -> None:
        """Stop the server."""
        await self._server.close()

    async def test_request_that_waits_to_be_read(self) -> None:
        """Guards against closing a connection whose request has arrived."""
        patch = mock.patch(f'{_caller_connection.__name__}.FIRST_REQUEST_S', 0)
        patch.start()
        self.addCleanup(patch.stop)
        caller = self._connect()
        await self._wait_connections()
        # Its handler has started, so that it counts as idle.
        await asyncio.sleep(0.05)
        caller.sendall(REQUEST)
        # The event loop has had no time to read it.
        self._server.connections.close_idle()
        self.assertIn(b'HTTP/1.1 200 OK', await self._read_head(caller))

    async def test_connection_that_waits_to_be_accepted(self) -> None:
        """Guards against refusing callers who have sent their request."""
        caller = self._connect()
        caller.sendall(REQUEST)
        self._server.start_draining()
        self._server.stop_accepting()
        self.assertIn(b'HTTP/1.1 200 OK', await self._read_head(caller))
        with self.assertRaises(OSError):
            self._connect()

    async def test_idle_connection(self) -> None:
        """A connection without a request does not hold up a stop."""
        with self._connect() as caller:
            await self._wait_connections()
            async with asyncio.timeout(TIMEOUT_S):
                while len(self._server.connections):
                    self._server.connections.close_idle()
                    await asyncio.sleep(0.01)
            self.assertEqual(caller.recv(1), b'')
        self.assertEqual(await self._server.close(), 0)

    async def test_body_that_begins_in_the_stop(self) -> None:
        """Guards against waiting for a body until the host is killed.

        The request has not run; its caller may send it to another host.
        """
        refused = Refused(GiveUpReason.STOPPING, 0.05)
        patch = mock.patch.object(
            self._router, 'refuse_stopping', return_value=refused, create=True
        )
        patch.start()
        self.addCleanup(patch.stop)
        self._limits = dataclasses.replace(LIMITS, idle_timeout_s=NEVER_S)
        self._server.end_by(time.monotonic() + 0.1)
        caller = self._connect()
        caller.sendall(HEAD_OF_BODY)
        self.assertIn(b'HTTP/1.1 503 ', await self._read_head(caller))
        self.assertEqual(self._router.requests, [])

    async def test_answer_that_is_not_read(self) -> None:
        """An answer that its caller does not read is reported as cut."""
        body = bytes(LARGE_ANSWER_BYTES)
        self._router.result = Delivered(TargetAnswer(200, (), body, 's'))
        self._server.start_draining()
        with self._connect() as caller:
            caller.sendall(REQUEST)
            await self._read_head(caller)
            self._server.connections.close_idle()
            self.assertEqual(len(self._server.connections), 1)
            self.assertEqual(await self._server.close(), 1)

    def _connect(self) -> socket.socket:
        caller = socket.create_connection(self._address)
        self.addCleanup(caller.close)
        return caller

    async def _wait_connections(self) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not len(self._server.connections):
                await asyncio.sleep(0)

    async def _read_head(self, caller: socket.socket) -> bytes:
        """Return the first bytes of an answer, at least its status line."""
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(TIMEOUT_S):
            return await loop.sock_recv(caller, 1024)
