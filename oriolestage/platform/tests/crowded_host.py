"""An entry host of its own process with lowered limits, and what it uses."""

import asyncio
import dataclasses
import re
from pathlib import Path

from aiohttp import web

from oriolestage.platform._settings import METRICS_PORT
from oriolestage.platform.tests.stopped_host import (
    CALLER_PORT,
    READY_PORT,
    SlowTarget,
    StoppedHost,
)

#: Memory of the machine in the settings, in megabytes.
MEMORY_MB = 112
#: Descriptors of each process in the settings.
MAX_DESCRIPTORS = 1024
#: Descriptors of these that the platform keeps for files.
FILE_DESCRIPTORS = 200
#: Port for other hosts: the first one of the range.
PEER_PORT = 7380
#: Bytes of a long answer of the target.
LONG_ANSWER_BYTES = 1_048_576
#: Part of a path whose answer is long, or stops just short of its end.
LONG_PATH = '/long'
STOPPING_PATH = '/stopping'
KILOBYTE = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process uses now and has used at most."""

    #: Largest resident memory since the start, and that of now, in megabytes.
    peak_mb: float
    resident_mb: float
    descriptors: int


class SizedTarget(SlowTarget):
    """A target whose answers are long for some paths."""

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        answer = await super()._handle(request)
        if LONG_PATH in request.path:
            answer.body = bytes(LONG_ANSWER_BYTES)
        if STOPPING_PATH in request.path:
            await self._stop_short(request, answer)
        return answer

    async def _stop_short(
        self, request: web.BaseRequest, answer: web.Response
    ) -> None:
        """Send all of a long answer but its last byte, and wait."""
        stream = web.StreamResponse(headers=answer.headers)
        stream.content_length = LONG_ANSWER_BYTES
        await stream.prepare(request)
        await stream.write(bytes(LONG_ANSWER_BYTES - 1))
        await asyncio.Event().wait()


class CrowdedHost(StoppedHost):
    """A host with little memory and few descriptors in its settings."""

    def __init__(self) -> None:
        """Prepare a host with one target and one route to it."""
        super().__init__((0,), repeatable=True)
        self.target = SizedTarget((0,))

    @property
    def usage(self) -> Usage:
        """What the process uses."""
        assert self.process is not None
        folder = Path('/proc') / str(self.process.pid)
        status = (folder / 'status').read_text('utf-8')
        return Usage(
            _megabytes(status, 'VmHWM'),
            _megabytes(status, 'VmRSS'),
            sum(1 for _ in (folder / 'fd').iterdir()),
        )

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def address_of(self, port: int) -> tuple[str, int]:
        """Return an address at which the host listens."""
        return self.ip, port

    async def answers(self, timeout_s: float, pause_s: float) -> bool:
        """Return whether the host answers an ordinary request in time.

        A refused request is sent again after a pause.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._answers_once():
                    await asyncio.sleep(pause_s)
        except TimeoutError:
            return False
        return True

    async def _answers_once(self) -> bool:
        try:
            exchange = await self.exchange()
        except OSError:
            return False
        return exchange.status == 200

    def _settings(self) -> dict[str, object]:
        limits = {'memoryMb': MEMORY_MB, 'maxFds': MAX_DESCRIPTORS}
        return {**super()._settings(), 'limits': limits}


def _megabytes(status: str, name: str) -> float:
    found = re.search(rf'^{name}:\s+(\d+) kB$', status, re.MULTILINE)
    assert found is not None
    return int(found.group(1)) / KILOBYTE


#: Ports by name, of which each has an address of its own.
PORTS = {  # noqa: WPS407
    'callers': CALLER_PORT,
    'ready': READY_PORT,
    'metrics': METRICS_PORT,
    'hosts': PEER_PORT,
}
