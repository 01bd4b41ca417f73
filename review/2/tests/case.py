"""Case 2: requests that are cut off while hosts are stopped in turn."""

import asyncio
import signal
import sys

import cases
from clients import Call, Shape
from configs import build_config, build_route
from deployment import Deployment
from hosts import EntryHost

ZONE = 'ege-a'
#: Zones of the servers.
SERVER_ZONES = (
    'marmara-a',
    'marmara-a',
    'ege-a',
    'ege-a',
    'ege-a',
    'ege-a',
    'ege-a',
    'ege-a',
    'ic-anadolu-a',
    'ic-anadolu-a',
)
#: Time for which a server works on a request, in seconds.
WORK_S = 0.6
#: Requests of the zone per second.
RATE = 42
#: Length of the traffic, in seconds.
LENGTH_S = 16.0
#: Time of the first SIGTERM after the start of traffic, in seconds.
FIRST_STOP_S = 4.0
#: Pause between the hosts, in seconds (``gap_s`` of the site's roll_term).
GAP_S = 1.3
#: Hosts that are stopped; the zone has three.
STOPPED = 2
#: Time from SIGTERM to SIGKILL, in seconds (``graceS``).
GRACE_S = 6.0
#: Requests sent later than this after SIGTERM are never excused, in seconds.
EXCUSED_S = 3.0
TIMEOUT_MS = 3000
SHAPE = Shape(
    'POST', 'bakici.example', '/visits/book', TIMEOUT_MS, b'{"visit": 1}'
)


class StopInTurn:
    """Two of the three hosts of a zone are stopped in turn.

    Fewer than half of the zone's hosts are in rotation then, so the balancer
    uses all of them, and the stopping ones get new connections too.
    """

    def config(self) -> dict:
        """Return a configuration with one route that must not be repeated."""
        route = build_route(
            'visits', 'visit-log', idempotent=False, timeout_ms=TIMEOUT_MS
        )
        return build_config([route], ['visit-log'])

    def servers(self) -> dict[str, list[str]]:
        """Return the zones of the servers."""
        return {'visit-log': list(SERVER_ZONES)}

    async def play(self, deployment: Deployment, *, trouble: bool) -> None:
        """Send requests from the zone while its hosts are stopped."""
        for server in deployment.servers:
            server.work_s = WORK_S
        stops = asyncio.create_task(_stop_in_turn(deployment, trouble=trouble))
        clients = deployment.clients
        await clients.send_steadily(SHAPE, ZONE, RATE, LENGTH_S)
        await clients.finish()
        await stops

    def judge(self, deployment: Deployment) -> list[str]:
        """Return the requests that rule LOST counts."""
        server_by_attempt = {
            event['attempt']: event['server']
            for event in deployment.record.of('run')
        }
        breaches = []
        for call in deployment.clients.calls:
            server = server_by_attempt.get(call.attempt)
            if server is None or not _is_cut(call):
                continue
            after_s = call.sent_at - call.host.stopped_at
            breaches.append(
                f'{call.attempt} at {call.host.name}, sent {after_s:.2f} s '
                f'after its SIGTERM, passed on to {server}, ended '
                f'{call.ended_at - call.sent_at:.2f} s later without an '
                f'answer ({call.problem})'
            )
        return breaches

    def summary(self, deployment: Deployment) -> str:
        """Return the number of requests, answers and cut connections."""
        calls = deployment.clients.calls
        answered = sum(1 for call in calls if call.answer is not None)
        unsent = sum(1 for call in calls if call.sent_at is None)
        return (
            f'{len(calls)} requests, {answered} answered, {unsent} refused '
            'with their connection'
        )


async def _stop_in_turn(deployment: Deployment, *, trouble: bool) -> None:
    """Send SIGTERM to two hosts of the zone, one after the other."""
    hosts = [host for host in deployment.hosts if host.zone == ZONE]
    await asyncio.sleep(FIRST_STOP_S)
    kills = []
    for host in hosts[:STOPPED]:
        if not trouble:
            continue
        host.stopped_at = deployment.record.now
        deployment.record.add('sigterm', host=host.name)
        host.send(signal.SIGTERM)
        kills.append(asyncio.create_task(_kill_late(deployment, host)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*kills)


async def _kill_late(deployment: Deployment, host: EntryHost) -> None:
    """Send SIGKILL after the grace period, as the platform does."""
    await asyncio.sleep(GRACE_S)
    deployment.record.add('sigkill', host=host.name)
    host.send(signal.SIGKILL)


def _is_cut(call: Call) -> bool:
    """Return whether a request ended around a SIGTERM without an answer.

    Requests are excused that reached their deadline, and those that were sent
    early and still at work in the last sixth of the grace period.
    """
    stopped_at = call.host.stopped_at
    if call.answer is not None or stopped_at is None or call.sent_at is None:
        return False
    around_stop = stopped_at <= call.ended_at <= stopped_at + GRACE_S + 1
    in_time = call.ended_at - call.sent_at < TIMEOUT_MS / 1000
    late_work = (
        call.ended_at >= stopped_at + GRACE_S * 5 / 6
        and call.sent_at <= stopped_at + EXCUSED_S
    )
    return around_stop and in_time and not late_work


if __name__ == '__main__':
    sys.exit(cases.main(StopInTurn()))
