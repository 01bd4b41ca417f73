"""Plays a partition of some hosts from all servers; two cases differ in how."""

import asyncio
import functools
from collections import Counter
from pathlib import Path

from platform_soak.clients import Call, Shape
from platform_soak.configs import build_config, build_route
from review.lab_2.case import (
    ZONES,
    CaseDeployment,
    run_case,
    say,
    with_trouble,
)
from review.lab_2.partition import PartitionedServer

SERVICE = 'visit-log'
SERVER_ZONES = (*ZONES, *ZONES)
DEADLINE_MS = 3000
#: Requests a second in each zone.
PER_S = 8
#: Hosts that are cut off: one of the two and two of the three of a zone.
CUT_OFF = ('edge-marmara-a-1', 'edge-ege-a-1', 'edge-ege-a-2')
#: Start of the partition and its length, in seconds.
CUT_AT_S = 4
CUT_FOR_S = 12
LENGTH_S = 20
#: The rule: time after the start of the cut from which it holds
#: (`contactMs`), the least ratio of the shares that are served, and the tries
#: that may fail: so many, and one in so many more of all.
CONTACT_S = 5
MIN_RATIO = 2 / 3
MAX_FAILED = 10
ONE_IN: float = 50
SUCCESS = 200


async def cut(deployment: CaseDeployment, *, hangs: bool) -> None:
    """Partition some hosts from all servers for a while."""
    partition = PartitionedServer.partition
    await asyncio.sleep(CUT_AT_S)
    deployment.record.add('cut', hosts=CUT_OFF)
    if with_trouble():
        partition.begin(CUT_OFF, hangs=hangs)
    await asyncio.sleep(CUT_FOR_S)
    partition.end()
    deployment.record.add('cut_ends')


async def ask(deployment: CaseDeployment, zone: str) -> None:
    """Send requests from a zone, each once and with a path of its own."""
    clients = deployment.clients
    tries = []
    for number in range(PER_S * LENGTH_S):
        shape = Shape(
            'GET',
            'bakici.example',
            f'/record/{zone}/{number}',
            DEADLINE_MS,
            repeatable=True,
        )
        tries.append(asyncio.create_task(clients.send(shape, zone)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tries)


def is_served(call: Call) -> bool:
    """Return whether a try was served."""
    return call.answer is not None and call.answer.status == SUCCESS


def share_served(calls: list[Call]) -> float:
    """Return the share of tries that were served."""
    return sum(map(is_served, calls)) / max(1, len(calls))


def describe(name: str, calls: list[Call]) -> str:
    """Return how tries ended."""
    ends = Counter(
        f'{call.answer.status}' if call.answer else call.problem
        for call in calls
    )
    return f'{name}: {dict(ends)}'


async def play(deployment: CaseDeployment, *, hangs: bool) -> list[str]:
    """Play the case; return how much less the hosts that are cut off serve."""
    route = build_route('record', SERVICE, idempotent=True)
    await deployment.start(
        build_config([route], [SERVICE]), {SERVICE: list(SERVER_ZONES)}
    )
    PartitionedServer.partition.watch(deployment.hosts)
    await asyncio.gather(
        cut(deployment, hangs=hangs), *(ask(deployment, zone) for zone in ZONES)
    )
    begun_at = deployment.record.of('cut')[0]['at']
    counted = [
        call
        for call in deployment.clients.calls
        if CONTACT_S <= call.started_at - begun_at < CUT_FOR_S
    ]
    away = [call for call in counted if call.host.name in CUT_OFF]
    others = [call for call in counted if call.host.name not in CUT_OFF]
    say(describe('hosts that are cut off', away))
    say(describe('other hosts', others))
    relayed = sum(
        len(host.log_lines('relay_served')) for host in deployment.hosts
    )
    say(f'requests that other hosts sent for them: {relayed}')
    failed = sum(not is_served(call) for call in away)
    served = share_served(away)
    usual = share_served(others)
    if served >= MIN_RATIO * usual:
        return []
    if failed <= MAX_FAILED + len(deployment.clients.calls) / ONE_IN:
        return []
    return [
        f'{served:.3f} served there, {usual:.3f} at others, {failed} failed'
    ]


def run_cut(folder: Path, *, hangs: bool) -> int:
    """Play the case and return the exit code.

    The connections of the hosts hang, or else are reset.
    """
    return run_case(
        folder, PartitionedServer, functools.partial(play, hangs=hangs)
    )
