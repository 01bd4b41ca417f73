"""A request of one caller crashes each server that runs it.

Another caller sends requests with the same path, which are answered. The
request that crashes servers keeps reaching them.
"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

from platform_soak.clients import Shape
from platform_soak.configs import build_config, build_route
from platform_soak.messages import Message
from platform_soak.servers import Server
from review.lab_2.case import (
    ZONES,
    CaseDeployment,
    run_case,
    say,
    with_trouble,
)

SERVICE = 'visit-log'
SERVER_ZONES = (*ZONES, *ZONES)
PATH = '/report/today'
DEADLINE_MS = 2000
#: The caller whose request crashes servers, and the other one.
CRASHING_TENANT = 'ferry'
OTHER_TENANT = 'harbour'
#: When the first comes, how often it comes, and for how long, in seconds.
CRASHING_FROM_S = 3
INTERVAL_S = 1.5
LENGTH_S = 45
#: Requests a second of the other caller in each zone.
OTHER_PER_S = 3
#: Work until a server crashes, and time until it is back, in seconds.
CRASH_AFTER_S = 0.02
BACK_S = 3
#: The rule: time after the third crash (`contactMs`), and retries since then
#: that may reach servers.
CONTACT_S = 5
MAX_RETRIES = 3
CRASHES = 3


class CrashingServer(Server):
    """Crashes when it runs a request of one caller."""

    async def _handle(
        self, identity: str, request: Message, reader: asyncio.StreamReader
    ) -> bytes:
        headers = request.headers
        meant = headers.get('target-instance') == identity
        if meant and headers.get('tenant') == CRASHING_TENANT:
            attempt = headers.get('attempt-id', '')
            self._record.add('run', attempt=attempt, server=identity)
            if with_trouble():
                await asyncio.sleep(CRASH_AFTER_S)
                await self._crash_once(identity, attempt)
                raise ConnectionResetError
        return await super()._handle(identity, request, reader)

    async def _crash_once(self, identity: str, attempt: str) -> None:
        if self.is_down or identity != self.identity:
            return
        self._record.add('crashed_by', attempt=attempt, server=identity)
        await self.crash()
        self._return = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_S)
        await self.start()


def shape_of(key: str) -> Shape:
    """Return the request of the caller with a key."""
    return Shape(
        'GET', 'bakici.example', PATH, DEADLINE_MS, repeatable=True, key=key
    )


async def send_crashing(deployment: CaseDeployment) -> None:
    """Send the request that crashes servers, again and again."""
    await asyncio.sleep(CRASHING_FROM_S)
    await deployment.clients.send_steadily(
        shape_of(CRASHING_TENANT),
        ZONES[1],
        1 / INTERVAL_S,
        LENGTH_S - CRASHING_FROM_S,
    )


async def play(deployment: CaseDeployment) -> list[str]:
    """Play the case; return the retries that reached servers too late."""
    route = build_route('report', SERVICE, idempotent=True)
    config = build_config([route], [SERVICE])
    config['tenants'] = [
        {'name': name, 'apiKeys': [name]}
        for name in (CRASHING_TENANT, OTHER_TENANT)
    ]
    await deployment.start(config, {SERVICE: list(SERVER_ZONES)})
    clients = deployment.clients
    await asyncio.gather(
        send_crashing(deployment),
        *(
            clients.send_steadily(
                shape_of(OTHER_TENANT), zone, OTHER_PER_S, LENGTH_S
            )
            for zone in ZONES
        ),
    )
    await clients.finish()
    ends = Counter(
        (call.key, call.answer.status if call.answer else call.problem)
        for call in clients.calls
    )
    say(f'how calls ended: {dict(ends)}')
    crashes = [event['at'] for event in deployment.record.of('crashed_by')]
    say(f'servers crashed: {len(crashes)}')
    if len(crashes) < CRASHES:
        return []
    late_at = crashes[CRASHES - 1] + CONTACT_S
    late = {
        event['attempt']: event['at']
        for event in deployment.record.of('run')
        if event['at'] > late_at and event.get('path') is None
    }
    if len(late) <= MAX_RETRIES:
        return []
    return [
        f'{len(late)} retries reached servers later than {CONTACT_S} s after '
        f'the third crash, the last one {max(late.values()) - late_at:.1f} s '
        'later than that'
    ]


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, CrashingServer, play))
