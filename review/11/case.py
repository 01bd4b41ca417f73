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
#: What the tenant sends: 4.4 times its rate.
SENT_PER_S = 40
#: Machines that the store turns away: two of the six.
TURNED_AWAY = ('edge-marmara-a-1', 'edge-marmara-a-2')
TURNED_AWAY_S = 9.0
ADDED = ('edge-ege-a-4', 'ege-a')
ZONES = ('marmara-a', 'marmara-a', 'ege-a', 'ege-a', 'ege-a', 'ic-anadolu-a')
#: Times from the start of the traffic, in seconds.
TROUBLE_AT_S = 8.0
ADDED_AT_S = 8.5
LENGTH_S = 22.0


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
    traffic = [
        lab.clients.send_steadily(
            Shape(
                'GET',
                'bakici.example',
                '/visits/1',
                DEADLINE_MS,
                b'',
                True,
                KEY,
            ),
            zone,
            SENT_PER_S / len(ZONES),
            LENGTH_S,
        )
        for zone in ZONES
    ]
    await asyncio.gather(*traffic, _disrupt(lab))
    await lab.clients.finish()
    return _check(lab, start_at)


async def _disrupt(lab: Lab) -> None:
    await asyncio.sleep(TROUBLE_AT_S)
    if has_trouble():
        lab.store.refused.update(TURNED_AWAY)
        lab.record.add('turned_away', hosts=TURNED_AWAY)
    await asyncio.sleep(ADDED_AT_S - TROUBLE_AT_S)
    await lab.host(ADDED[0]).start()
    lab.record.add('machine_added', host=ADDED[0])
    await asyncio.sleep(TURNED_AWAY_S + TROUBLE_AT_S - ADDED_AT_S)
    lab.store.refused.clear()
    lab.record.add('turned_away_no_more')


def _check(lab: Lab, start_at: float) -> list[str]:
    """Return the window with the most runs if there are too many.

    A request counts once, and only if it was sent in the window too.
    """
    sent = {event['attempt']: event['at'] for event in lab.record.of('sent')}
    ran: dict[str, float] = {}
    for event in lab.record.of('run'):
        ran.setdefault(event['attempt'], event['at'])
    served = [call for call in lab.clients.calls if call.attempt in ran]
    if len(served) < RATE_PER_S * LENGTH_S / 2:
        raise CannotRunError(f'only {len(served)} requests ran')
    pairs = sorted((at, sent[attempt]) for attempt, at in ran.items())
    most, since = _most(pairs)
    lab.record.add('most', runs=most, since=since - start_at, allowed=ALLOWED)
    if most <= ALLOWED:
        return []
    return [
        f'QUOTA: {most} runs of {TENANT} in {WINDOW_S} s'
        f' from {since - start_at:.2f} s on; {ALLOWED:.0f} are allowed'
    ]


def _most(pairs: Sequence[tuple[float, float]]) -> tuple[int, float]:
    """Return the most runs in a window, and its start.

    Each pair has the times at which a request ran and was sent.
    """
    best: tuple[int, float] = (0, 0)
    for _, start in pairs:
        inside = [at for at, sent in pairs if start <= sent and at >= start]
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
