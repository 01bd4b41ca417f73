"""A request crashes the only server of its service, which keeps its id.

Each time that the server is back, the request reaches it and crashes it again.
"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

from platform_soak.clients import Shape
from platform_soak.configs import build_config, build_route
from platform_soak.messages import Message
from platform_soak.registration import Registration, describe_target
from platform_soak.servers import Server
from review.lab_2.case import (
    ZONES,
    CaseDeployment,
    run_case,
    say,
    with_trouble,
)

SERVICE = 'visit-log'
SERVER_ZONES = (ZONES[1],)
CRASHING_PATH = '/report/bad'
OTHER_PATH = '/report/good'
DEADLINE_MS = 2000
#: When the request first comes, how often it comes, and for how long, in
#: seconds.
CRASHING_FROM_S = 3
INTERVAL_S = 1.5
LENGTH_S = 45
#: Other requests a second in each zone.
OTHER_PER_S = 2
#: Work until the server crashes, and time until it is back, in seconds: its
#: entry lapses after 3.6 s.
CRASH_AFTER_S = 0.02
BACK_S = 4
#: The rule: time after the third crash (`contactMs`), and retries since then
#: that may reach the server.
CONTACT_S = 5
MAX_RETRIES = 3
CRASHES = 3


class CrashingServer(Server):
    """Crashes when it runs one request; starts again under its id."""

    async def start(self) -> None:
        """Listen; register as a new incarnation with the id of before."""
        kept = self.identity
        await super().start()
        if not kept:
            return
        # The entry under a new id has not been written yet.
        self._registration.stop()
        self.identity = kept
        self._record.add('server_up_again', server=kept)
        self._registration = Registration(
            self._store,
            kept,
            describe_target(
                self.service,
                self.address,
                self.zone,
                self.version,
                self._slots,
            ),
        )
        self._registration.start()

    async def _handle(
        self, identity: str, request: Message, reader: asyncio.StreamReader
    ) -> bytes:
        headers = request.headers
        meant = headers.get('target-instance') == identity
        if meant and request.start[1] == CRASHING_PATH:
            attempt = headers.get('attempt-id', '')
            self._record.add('began', attempt=attempt, server=identity)
            if with_trouble():
                await asyncio.sleep(CRASH_AFTER_S)
                await self._crash_once(attempt)
                raise ConnectionResetError
        return await super()._handle(identity, request, reader)

    async def _crash_once(self, attempt: str) -> None:
        if self.is_down:
            return
        self._record.add('crashed_by', attempt=attempt, server=self.identity)
        await self.crash()
        self._return = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_S)
        await self.start()


def shape_of(path: str) -> Shape:
    """Return the request for a path."""
    return Shape('GET', 'bakici.example', path, DEADLINE_MS, repeatable=True)


async def send_crashing(deployment: CaseDeployment) -> None:
    """Send the request that crashes the server, again and again."""
    await asyncio.sleep(CRASHING_FROM_S)
    await deployment.clients.send_steadily(
        shape_of(CRASHING_PATH),
        ZONES[1],
        1 / INTERVAL_S,
        LENGTH_S - CRASHING_FROM_S,
    )


def find_late(deployment: CaseDeployment) -> list[str]:
    """Return the retries that reached the server too late, if too many."""
    crashes = [event['at'] for event in deployment.record.of('crashed_by')]
    say(f'the server crashed {len(crashes)} times, at {crashes}')
    if len(crashes) < CRASHES:
        return []
    late_at = crashes[CRASHES - 1] + CONTACT_S
    late = {
        event['attempt']: event['at']
        for event in deployment.record.of('began')
        if event['at'] > late_at
    }
    if len(late) <= MAX_RETRIES:
        return []
    return [
        f'{len(late)} retries reached the server later than {CONTACT_S} s '
        f'after the third crash: {list(late.values())}'
    ]


async def play(deployment: CaseDeployment) -> list[str]:
    """Play the case; return how the rule was broken."""
    route = build_route('report', SERVICE, idempotent=True)
    await deployment.start(
        build_config([route], [SERVICE]), {SERVICE: list(SERVER_ZONES)}
    )
    clients = deployment.clients
    await asyncio.gather(
        send_crashing(deployment),
        *(
            clients.send_steadily(
                shape_of(OTHER_PATH), zone, OTHER_PER_S, LENGTH_S
            )
            for zone in ZONES
        ),
    )
    await clients.finish()
    ends = Counter(
        (call.path, call.answer.status if call.answer else call.problem)
        for call in clients.calls
    )
    say(f'how calls ended: {dict(ends)}')
    return find_late(deployment)


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, CrashingServer, play))
