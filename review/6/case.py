"""All servers of a service are down for 4.5 s, while a new route is young.

Afterwards the same servers serve the first route, and the new one never.
"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

from platform_soak.clients import Call, Shape
from platform_soak.configs import build_config, build_route
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
FIRST_PATH = '/lookup/today'
#: The stand-in's servers work for 1.5 s on a path that ends like this.
ADDED_PATH = '/report/today/long'
DEADLINE_MS = 3000
#: Requests a second on each route in each zone.
PER_S = 2
#: Times in seconds since the start of the traffic: of the new version, of the
#: first request on the route that it adds (past `configApplyMs`), of the crash
#: of all servers, and of the end.
VERSION_AT_S = 2
ADDED_AT_S = 7
CRASH_AT_S = 7.9
LENGTH_S = 60
#: Time for which the servers are down: the dose of the small site.
DOWN_S = 4.5
#: Time after a disruption from which machines are in touch (`contactMs`).
CONTACT_S = 5
#: The rule: at least so many requests on the added route, and the share of
#: the success on the first routes below which it is broken.
MIN_REQUESTS = 20
MIN_SHARE = 0.25
SUCCESS = 200


def shape_of(path: str) -> Shape:
    """Return the request for a path."""
    return Shape('GET', 'bakici.example', path, DEADLINE_MS, repeatable=True)


async def add_route(deployment: CaseDeployment) -> None:
    """Write the version that adds a route."""
    await asyncio.sleep(VERSION_AT_S)
    routes = [
        build_route(name, SERVICE, idempotent=True)
        for name in ('lookup', 'report')
    ]
    await deployment.store.put('op/config', build_config(routes, [SERVICE], 8))
    deployment.record.add('version', number=8)


async def crash_all(deployment: CaseDeployment) -> None:
    """Crash all servers of the service; start them again."""
    await asyncio.sleep(CRASH_AT_S)
    if not with_trouble():
        return
    servers = deployment.servers_of(SERVICE)
    await asyncio.gather(*(server.crash() for server in servers))
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(server.start() for server in servers))


async def ask_later(deployment: CaseDeployment, zone: str) -> None:
    """Send requests on the added route from a zone."""
    await asyncio.sleep(ADDED_AT_S)
    await deployment.clients.send_steadily(
        shape_of(ADDED_PATH), zone, PER_S, LENGTH_S - ADDED_AT_S
    )


def served_share(calls: list[Call]) -> float:
    """Return the share of calls that were served."""
    served = [
        call
        for call in calls
        if call.answer is not None and call.answer.status == SUCCESS
    ]
    return len(served) / max(1, len(calls))


def describe(calls: list[Call]) -> str:
    """Return how calls ended, with the numbers of each end."""
    ends = Counter(
        f'{call.answer.status} {call.answer.body.decode()}'
        if call.answer is not None and call.answer.status != SUCCESS
        else call.problem or 'served'
        for call in calls
    )
    return ', '.join(f'{end}: {count}' for end, count in ends.items())


async def play(deployment: CaseDeployment) -> list[str]:
    """Play the case; return how the added route was served less."""
    first = build_route('lookup', SERVICE, idempotent=True)
    await deployment.start(
        build_config([first], [SERVICE], 7), {SERVICE: list(SERVER_ZONES)}
    )
    clients = deployment.clients
    started_at = deployment.record.now
    await asyncio.gather(
        add_route(deployment),
        crash_all(deployment),
        *(ask_later(deployment, zone) for zone in ZONES),
        *(
            clients.send_steadily(shape_of(FIRST_PATH), zone, PER_S, LENGTH_S)
            for zone in ZONES
        ),
    )
    await clients.finish()
    steady_at = started_at + CRASH_AT_S + DOWN_S + CONTACT_S
    by_path: dict[str, list[Call]] = {FIRST_PATH: [], ADDED_PATH: []}
    for call in clients.calls:
        if call.started_at >= steady_at:
            by_path[call.path].append(call)
    for path, calls in by_path.items():
        say(f'in steady state, {path}: {len(calls)} ({describe(calls)})')
    first_share = served_share(by_path[FIRST_PATH])
    added_share = served_share(by_path[ADDED_PATH])
    enough = len(by_path[ADDED_PATH]) >= MIN_REQUESTS
    if enough and added_share < MIN_SHARE * first_share:
        return [f'served {added_share:.3f}, the first route {first_share:.3f}']
    return []


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).parent, Server, play))
