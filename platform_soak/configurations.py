"""The operator: versions of the configuration and evacuations."""

import asyncio
import dataclasses

from platform_soak.accounts import Account, accounts_of, build_tenant
from platform_soak.answers import SEARCH_PREFIX
from platform_soak.configs import build_config, build_route
from platform_soak.record import Record
from platform_soak.store import Store

#: Services of single requests, and the shards of queries.
LOOKUP_SERVICE = 'visit-log'
BOOKING_SERVICE = 'office-desk'
SHARDS = tuple(f'shard-{number}' for number in range(6))
#: Least share of the shards in an answer, and records in it.
MIN_COVERAGE = 0.5
TOP_RECORDS = 5
#: Route that moves with each version.
MOVED_PREFIX = '/moved/'
TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version that the store has acknowledged."""

    number: int
    #: Time of the record.
    acknowledged_at: float
    #: Service by the prefix of a route to one service.
    services: dict[str, str]
    #: Without any, keys do not matter.
    accounts: tuple[Account, ...] = ()

    def allows_key(self, key: str) -> bool:
        """Return whether requests with a key may run."""
        if not self.accounts:
            return True
        return any(key in account.keys for account in self.accounts)


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """A time for which a data centre takes no work."""

    zone: str
    start: float
    end: float


def service_of(version: Version, path: str) -> str:
    """Return the service of a path, empty if there is no route."""
    for prefix, service in version.services.items():
        if path.startswith(prefix):
            return service
    return ''


class Configurations:
    """Writes configurations and evacuations, and remembers when."""

    def __init__(
        self, store: Store, record: Record, *, has_accounts: bool = False
    ) -> None:
        """Start before the first version."""
        self._has_accounts = has_accounts
        self.versions: list[Version] = []
        self.evacuations: list[Evacuation] = []
        self._store = store
        self._record = record

    def first(self) -> dict:
        """Return the first version, which the deployment writes."""
        return self._build(1)

    async def change(self) -> None:
        """Write the next version: a route moves and another one is added."""
        number = self.versions[-1].number + 1
        document = self._build(number)
        await self._store.put('op/config', document)
        self._record.add('version', number=number)

    async def close_zone(self, zone: str, for_s: float) -> None:
        """Evacuate a data centre, unless another one is evacuated."""
        if any(known.end > self._record.now for known in self.evacuations):
            return
        await self._store.put(f'op/evacuate/{zone}', {})
        start = self._record.now
        self.evacuations.append(Evacuation(zone, start, start + for_s))
        self._record.add('evacuated', zone=zone, for_s=for_s)
        await asyncio.sleep(for_s)
        await self._store.remove(f'op/evacuate/{zone}')

    def _build(self, number: int) -> dict:
        services = {
            '/lookup/': LOOKUP_SERVICE,
            '/book/': BOOKING_SERVICE,
            MOVED_PREFIX: (LOOKUP_SERVICE, BOOKING_SERVICE)[number % 2],
            f'/added-{number}/': LOOKUP_SERVICE,
            f'/added-{number - 1}/': LOOKUP_SERVICE,
        }
        routes = [
            build_route(
                prefix.strip('/'),
                service,
                idempotent=prefix != '/book/',
                timeout_ms=TIMEOUT_MS,
            )
            for prefix, service in services.items()
        ]
        search = build_route(
            SEARCH_PREFIX.strip('/'), '', idempotent=True, timeout_ms=TIMEOUT_MS
        )
        search.pop('service')
        search['gather'] = list(SHARDS)
        search['minCoverage'] = MIN_COVERAGE
        search['topK'] = TOP_RECORDS
        names = (LOOKUP_SERVICE, BOOKING_SERVICE, *SHARDS)
        accounts = accounts_of(number) if self._has_accounts else ()
        self.versions.append(
            Version(number, self._record.now, services, accounts)
        )
        document = build_config([*routes, search], names, number)
        if accounts:
            document['tenants'] = [build_tenant(known) for known in accounts]
        return document
