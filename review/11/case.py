"""QUOTA: an owner of a quota that has not heard of its successor goes on."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

from platform_soak.clients import Shape
from platform_soak.configs import build_config, build_route
from review.lab_3.lab import CannotRunError, Lab, has_trouble, run_case

SERVICE = 'visit-log'
SLOTS = 8
WORK_S = 0.02
DEADLINE_MS = 1500
SEED = 11
#: The tenant of the case. Of the six hosts, edge-marmara-a-1 counts its
#: requests; once edge-ege-a-4 is added, that one does.
TENANT = 'tenant-4'
KEY = 'key-of-tenant-4'
RATE_PER_S = 9
BURST = 9
#: Bounds of the site: quotaWindowS, quotaOverage and quotaSlack.
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
#: What the tenant usually sends, and 7.1 times as much while it is hot. The
#: limit of the site's tenants is 1.6 times what they usually send.
USUAL_PER_S = 5.6
HOT_PER_S = 40
USUAL_S = 8.5
HOT_S = 6.5
#: Machines that the store turns away: two of the six.
TURNED_AWAY = ('edge-marmara-a-1', 'edge-marmara-a-2')
TURNED_AWAY_S = 9.0
ADDED = ('edge-ege-a-4', 'ege-a')
ZONES = ('marmara-a', 'marmara-a', 'ege-a', 'ege-a', 'ege-a', 'ic-anadolu-a')
#: Times from the start of the traffic, in seconds.
TROUBLE_AT_S = 6.0
ADDED_AT_S = 6.3
AFTER_S = 2.0
#: Least number of requests that run in a case that shows anything.
LEAST_RUNS = 60


async def play(lab: Lab) -> list[str]:
    """Play the case; return the windows with too many runs."""
    route = build_route('visits', SERVICE, idempotent=True)
    config = build_config([route], [SERVICE])
    config['tenants'] = [
        {
            'name': TENANT,
            'apiKeys': [KEY],
            'ratePerS': RATE_PER_S,
            'burst': BURST,
        }
    ]
    for zone in ('marmara-a', 'ege-a', 'ic-anadolu-a') * 2:
        await lab.add_server(SERVICE, zone, SLOTS, WORK_S)
    await lab.start(config, ADDED)
    start_at = lab.record.now
    traffic = [_send(lab, zone) for zone in ZONES]
    await asyncio.gather(*traffic, _disrupt(lab))
    await lab.clients.finish()
    return _check(lab, start_at)


async def _send(lab: Lab, zone: str) -> None:
    """Send a part of the tenant's requests, which is hot in between."""
    shape = Shape(
        'GET', 'bakici.example', '/visits/1', DEADLINE_MS, b'', True, KEY
    )
    for per_s, for_s in (
        (USUAL_PER_S, USUAL_S),
        (HOT_PER_S, HOT_S),
        (USUAL_PER_S, AFTER_S),
    ):
        await lab.clients.send_steadily(shape, zone, per_s / len(ZONES), for_s)


async def _disrupt(lab: Lab) -> None:
    await asyncio.sleep(TROUBLE_AT_S)
    if has_trouble():
        lab.store.refused.update(TURNED_AWAY)
        lab.record.add('turned_away', hosts=TURNED_AWAY)
    await asyncio.sleep(ADDED_AT_S - TROUBLE_AT_S)
    await lab.host(ADDED[0]).start()
    lab.record.add('machine_added', host=ADDED[0])
    await asyncio.sleep(USUAL_S - ADDED_AT_S)
    if not lab.balancer.in_rotation(lab.host(ADDED[0])):
        raise CannotRunError('the added machine is not ready')
    await asyncio.sleep(TURNED_AWAY_S + TROUBLE_AT_S - USUAL_S)
    lab.store.refused.clear()
    lab.record.add('turned_away_no_more')


def _check(lab: Lab, start_at: float) -> list[str]:
    """Return the window with the most runs if there are too many.

    A request counts once, with the times at which its client began to send it
    and at which it arrived at the replica that ran it first.
    """
    sent = {call.attempt: call.started_at for call in lab.clients.calls}
    arrived = {
        (event['attempt'], event['server']): event['at']
        for event in lab.record.of('reached')
    }
    pairs: dict[str, tuple[float, float]] = {}
    for event in lab.record.of('run'):
        attempt = event['attempt']
        arrived_at = arrived[attempt, event['server']]
        pairs.setdefault(attempt, (arrived_at, sent[attempt]))
    if len(pairs) < LEAST_RUNS:
        raise CannotRunError(f'only {len(pairs)} requests ran')
    most, since = _most(tuple(pairs.values()))
    lab.record.add('most', runs=most, since=since - start_at, allowed=ALLOWED)
    if most <= ALLOWED:
        return []
    return [
        f'QUOTA: {most} runs of {TENANT} in {WINDOW_S} s'
        f' from {since - start_at:.2f} s on; {ALLOWED:.0f} are allowed'
    ]


def _most(pairs: Sequence[tuple[float, float]]) -> tuple[int, float]:
    """Return the most runs in a window, and its start.

    Each pair has the times at which a request arrived and was sent.
    """
    best: tuple[int, float] = (0, 0)
    for _, start in pairs:
        inside = [at for at, sent in pairs if sent >= start]
        count = sum(1 for at in inside if at <= start + WINDOW_S)
        best = max(best, (count, start))
    return best


if __name__ == '__main__':
    bounds = {
        'quotaWindowS': WINDOW_S,
        'quotaOverage': OVERAGE,
        'quotaSlack': SLACK,
    }
    run_case(
        Lab(
            SEED,
            {
                'policies': ['base', 'tenants', 'quota', 'platform'],
                'bounds': bounds,
            },
        ),
        play,
        Path(__file__).parent,
    )
