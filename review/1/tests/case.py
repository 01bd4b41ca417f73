"""Case 1: an entry of another writer makes hosts deaf to the store."""

import asyncio
import json
import sys

import cases
from clients import Call, Shape
from configs import build_config, build_route
from deployment import Deployment
from servers import BEAT_S
from store import Store

ZONES = ('marmara-a', 'ege-a', 'ic-anadolu-a')
OLD_SERVICE = 'visit-log'
NEW_SERVICE = 'office-desk'
#: Levels of lists in the field of the entry that has another type.
LEVELS = 1500
#: Time of the entry and of the change after the start of traffic, in seconds.
ENTRY_S = 3.0
CHANGE_S = 6.0
#: Length of the traffic, in seconds.
LENGTH_S = 35.0
#: Requests per second of each kind in each zone.
RATE = 4
#: Time within which a change is in force, in seconds (``configApplyMs``).
APPLY_S = 4.0
DEADLINE_MS = 3000
NOT_FOUND = 404
MOVED = Shape('GET', 'bakici.example', '/moved/1', DEADLINE_MS)
ADDED = Shape('GET', 'bakici.example', '/added/1', DEADLINE_MS)


class ForeignEntry:
    """Another writer leaves an entry that cannot be read among the servers.

    Afterwards the operator moves one route to another service and adds one.
    """

    def __init__(self) -> None:
        """Start before the change."""
        self._acknowledged_at = float('inf')

    def config(self) -> dict:
        """Return a configuration with the route that moves later."""
        route = build_route('moved', OLD_SERVICE, idempotent=True)
        return build_config([route], [OLD_SERVICE, NEW_SERVICE])

    def servers(self) -> dict[str, list[str]]:
        """Return the zones of the servers."""
        return {OLD_SERVICE: list(ZONES), NEW_SERVICE: list(ZONES)}

    async def play(self, deployment: Deployment, *, trouble: bool) -> None:
        """Write the entry and change the configuration during traffic."""
        record, store = deployment.record, deployment.store
        traffic = [
            asyncio.create_task(
                deployment.clients.send_steadily(shape, zone, RATE, LENGTH_S)
            )
            for zone in ZONES
            for shape in (MOVED, ADDED)
        ]
        await asyncio.sleep(ENTRY_S)
        writer = asyncio.create_task(_write_entries(store, trouble=trouble))
        record.add('foreign_entry', levels=LEVELS if trouble else 0)
        await asyncio.sleep(CHANGE_S - ENTRY_S)
        routes = [
            build_route('moved', NEW_SERVICE, idempotent=True),
            build_route('added', NEW_SERVICE, idempotent=True),
        ]
        await store.put(
            'op/config', build_config(routes, [OLD_SERVICE, NEW_SERVICE], 9)
        )
        record.add('config', version=9)
        self._acknowledged_at = record.now
        await asyncio.gather(*traffic)
        await deployment.clients.finish()
        writer.cancel()

    def judge(self, deployment: Deployment) -> list[str]:
        """Return the requests that only the older version explains."""
        service_by_attempt = {
            event['attempt']: event['service']
            for event in deployment.record.of('run')
        }
        breaches = []
        for call in self._due_calls(deployment):
            service = service_by_attempt.get(call.attempt, '')
            handled = ''
            if service == OLD_SERVICE:
                handled = f'run by the old service {service}'
            elif call.answer is not None and call.answer.status == NOT_FOUND:
                handled = 'refused with 404 though the route is there'
            if handled:
                after_s = call.sent_at - self._acknowledged_at
                breaches.append(
                    f'{call.attempt} {call.path} at {call.host.name}, sent '
                    f'{after_s:.1f} s after the acknowledgement: {handled}'
                )
        return breaches

    def summary(self, deployment: Deployment) -> str:
        """Return the number of requests for which the change was due."""
        due = self._due_calls(deployment)
        hosts = {call.host.name for call in due}
        return f'{len(due)} requests at {len(hosts)} hosts after the change'

    def _due_calls(self, deployment: Deployment) -> list[Call]:
        due_at = self._acknowledged_at + APPLY_S
        return [
            call
            for call in deployment.clients.calls
            if call.sent_at is not None and call.sent_at > due_at
        ]


async def _write_entries(store: Store, *, trouble: bool) -> None:
    """Write the entry with each heartbeat, so that it is not removed."""
    while trouble:
        await store.put_bytes('servers/i-foreign', _foreign_entry())
        await asyncio.sleep(BEAT_S)


def _foreign_entry() -> bytes:
    """Return an entry whose version is lists in lists, not a text."""
    entry = json.dumps(
        {
            'service': 'other-team',
            'address': '127.0.0.1:9',
            'zone': ZONES[0],
            'version': '',
            'concurrencyLimit': 1,
            'state': 'ready',
            'warmupLeftMs': 0,
            'sequence': 1,
        }
    )
    lists = '[' * LEVELS + ']' * LEVELS
    return entry.replace('"version": ""', f'"version": {lists}').encode()


if __name__ == '__main__':
    sys.exit(cases.main(ForeignEntry()))
