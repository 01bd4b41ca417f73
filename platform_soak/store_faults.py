"""Carries out the faults of a plan that concern the store."""

import asyncio
import itertools
import json
from collections.abc import Sequence

from platform_soak import plan
from platform_soak.deployment import Deployment
from platform_soak.disruptions import STORE, Disruptions
from platform_soak.registration import BEAT_S, BEATS_TO_REMOVAL
from platform_soak.stored_content import StoredContent

#: Time after its return within which the store is disturbed still, in seconds.
STORE_SETTLE_S = 0.1
NESTING_LEVELS = 1500
LONG_NUMBER_DIGITS = 400
#: Length of a large entry, in bytes; ``valueBytes`` is the most.
LARGE_ENTRY_BYTES = 1_000_000
ODD_KEY = 'servers/i-other-writer'
OPERATOR_PREFIX = 'op/'
TARGET_PREFIX = 'servers/'


class StoreFaults:
    """Injects faults of the store and records what they disturb."""

    def __init__(
        self, deployment: Deployment, disruptions: Disruptions
    ) -> None:
        """Create an injector for a running deployment."""
        self._deployment = deployment
        self._store = deployment.store
        self._record = deployment.record
        self._disruptions = disruptions
        self._odd_numbers = itertools.count(1)

    async def inject(self, fault: plan.Fault) -> None:
        """Carry out a fault; return once it is over."""
        match fault:
            case plan.DisturbStore(hosts=numbers, way=way, for_s=for_s):
                await self._disturb(numbers, way, for_s)
            case plan.LoseWrites(for_s=for_s, delay_s=delay_s):
                start = self._record.now
                self._store.late_writes_s = delay_s
                await asyncio.sleep(for_s)
                self._store.late_writes_s = None
                self._disruptions.add(STORE, start, self._record.now + delay_s)
            case plan.DiscardHistory():
                self._store.discard_history()
            case plan.RestoreStore(copy_age_s=copy_age_s, away_s=away_s):
                await self._restore(copy_age_s, away_s)
            case plan.OddEntry(entry=entry, for_s=for_s, count=count):
                await self._leave_entries(entry, for_s, count)
            case plan.OverwriteTarget(target=number, entry=entry):
                server = self._deployment.servers[number]
                if not server.is_down and not server.is_leaving:
                    key = f'{TARGET_PREFIX}{server.identity}'
                    await self._store.put_bytes(key, odd_entry(entry))

    async def _disturb(
        self, numbers: Sequence[int], way: str, for_s: float
    ) -> None:
        names = [self._deployment.hosts[number].name for number in numbers]
        disturbed = {
            'busy': self._store.refused,
            'silent': self._store.silent,
            'reset': self._store.reset,
        }[way]
        start = self._record.now
        disturbed.update(names)
        await asyncio.sleep(for_s)
        disturbed.difference_update(names)
        end = self._record.now + STORE_SETTLE_S
        if len(names) == len(self._deployment.hosts):
            self._disruptions.add(STORE, start, end)
        for name in names:
            self._disruptions.add(name, start, end)

    async def _restore(self, copy_age_s: float, away_s: float) -> None:
        """Bring the store back from a copy that is taken now.

        The operator writes again at once what it wrote since.
        """
        copied = self._store.take_copy()
        await asyncio.sleep(copy_age_s)
        start = self._record.now
        self._store.away = True
        await asyncio.sleep(away_s)
        lost = await self._store.restore(copied)
        self._record.add('store_restored', revision=self._store.revision)
        await self._store.write_again(OPERATOR_PREFIX, lost)
        self._store.away = False
        end = self._record.now + STORE_SETTLE_S
        self._disruptions.add(STORE, start, end)
        await self._remove_silent(lost)

    async def _remove_silent(self, lost: StoredContent) -> None:
        """Remove the entries of targets that had gone before the return.

        They lapse, since no target writes them any more.
        """
        gone = self._store.keys(TARGET_PREFIX) - lost.listed.keys()
        revisions = {key: self._store.revision_of(key) for key in gone}
        await asyncio.sleep(BEAT_S * BEATS_TO_REMOVAL)
        for key, revision in revisions.items():
            if self._store.revision_of(key) == revision:
                await self._store.remove(key)

    async def _leave_entries(
        self, entry: str, for_s: float, count: int
    ) -> None:
        keys = [
            f'{ODD_KEY}-{number}'
            for number in itertools.islice(self._odd_numbers, count)
        ]
        for key in keys:
            await self._store.put_bytes(key, odd_entry(entry))
        await asyncio.sleep(for_s)
        for key in keys:
            await self._store.remove(key)


def odd_entry(entry: str) -> bytes:
    """Return the registration that another writer leaves."""
    fields: dict[str, object] = {
        'service': 'visit-log',
        'address': '127.0.0.1:9',
        'zone': plan.ZONES[0],
        'version': '',
        'concurrencyLimit': 1,
        'state': 'ready',
        'warmupLeftMs': 0,
        'sequence': 1,
    }
    match entry:
        case 'nested':
            fields['service'] = 'of-another-team'
            lists = '[' * NESTING_LEVELS + ']' * NESTING_LEVELS
            text = json.dumps(fields)
            return text.replace('"version": ""', f'"version": {lists}').encode()
        case 'number':
            fields['concurrencyLimit'] = 10**LONG_NUMBER_DIGITS
        case 'port':
            fields['address'] = '127.0.0.1:99999'
        case 'types':
            fields.update(service=7, address=None, zone=[], state={})
        case 'bytes':
            return b'\xff\x00 no text'
        case 'large':
            return b'x' * LARGE_ENTRY_BYTES
    return json.dumps(fields).encode()
