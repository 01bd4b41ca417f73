"""A host for callers with accounts, alone or with another host behind it."""

import contextlib
import time
from collections.abc import AsyncIterator

import msgspec

from oriolestage.admission._accounts import NO_ACCOUNTS, AccountDirectory
from oriolestage.entry._account_checks import AccountChecker
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._quota_log import QuotaLog
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._target_client import TargetClient
from oriolestage.entry.tests.peer_requests import start_peer_server
from oriolestage.entry.tests.quota_hosts import make_exchange
from oriolestage.platform._configuration import decode_configuration
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.served_callers import EchoingTarget, serving
from oriolestage.platform.tests.target_calls import RecordingObserver
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import ConfigurationStored, HostRecord
from oriolestage.routing._peers import LinkState, PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._state_changes import Freshness
from oriolestage.routing._target_reach import MIN_UNREACHED_TARGETS
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
    make_record,
)

HOST = 'h.example'
KEY = 'kiosk-key-1'
ACCOUNT = 'kiosks'
#: Path of the route to one service, of the public one and of the shard query.
SINGLE_PATH = '/single/x'
PUBLIC_PATH = '/public/x'
QUERY_PATH = '/query/x'
SERVICE = 'shard-0'
#: Time for which the stream to the other host counts as heard, in seconds.
LINK_HEARD_FOR_S = 600.0


def make_configuration(**changes: object) -> bytes:
    """Return a configuration with one account, with changed fields."""
    routes: list[dict[str, object]] = [
        _make_route('single', service=SERVICE, allowedRegions=('region-a',)),
        _make_route('public', service=SERVICE, public=True),
        _make_route('query', gather=(SERVICE,), topK=1, minCoverage=1),
    ]
    document = {
        'version': 1,
        'routes': routes,
        'services': [],
        'tenants': [{'name': ACCOUNT, 'apiKeys': [KEY]}],
        **changes,
    }
    return msgspec.json.encode(document)


def _make_route(name: str, **fields: object) -> dict[str, object]:
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'routeType': 'idempotent',
        'timeoutMs': 2000,
        'maxAttempts': 1,
        **fields,
    }


class AccountHost:
    """A host that serves callers on loopback, with a target behind it."""

    def __init__(self) -> None:
        """Create a host that is not running."""
        self.target = EchoingTarget()
        self.address = ('', 0)
        self._state: ClusterState | None = None
        self._version = 0

    @property
    def forwarded_heads(self) -> list[bytes]:
        """The heads of the requests that reached the target."""
        return [head for head, _ in self.target.received]

    def configure(self, **changes: object) -> None:
        """Apply the next version of the configuration, with changed fields."""
        assert self._state is not None
        self._version += 1
        content = make_configuration(version=self._version, **changes)
        table = decode_configuration(content)
        self._state.apply(ConfigurationStored(table), time.monotonic())

    @contextlib.asynccontextmanager
    async def running(self, *, relayed: bool) -> AsyncIterator[None]:
        """Serve callers; if ``relayed``, all through another host."""
        await self.target.start()
        records = (make_record('t-1', SERVICE, address=self.target.address),)
        client = TargetClient(PlatformWireProtocol(), RecordingObserver())
        peer_client = PeerClient(lambda _: None)
        other, _ = make_placement(records=records, name='host-2')
        server, peer_address = await start_peer_server(other, client)
        placement, directory = make_placement(records=records)
        peers = PeerDirectory(placement.location)
        if relayed:
            _cut_off(placement, peers, peer_address)
        self._state = ClusterState(
            directory, placement, peers, make_crash_detector()
        )
        router = RequestRouter(
            self._state,
            placement,
            peers,
            client,
            make_crash_detector(),
            peer_client,
            BudgetBounds(),
            RequestLog(EntryMetrics(), float),
            AccountChecker(PlatformWireProtocol()),
            make_exchange(
                'host-1',
                lambda: _accounts_of(self._state),
                {'host-1': HostRecord('host-1', 'dc-a', '')},
                QuotaLog(),
            ),
        )
        try:
            async with serving(router) as address:
                self.address = address
                yield
        finally:
            for part in (peer_client, server, client, self.target):
                part.close()


def _cut_off(placement: Placement, peers: PeerDirectory, address: str) -> None:
    """Let a host reach no target, but another host that does."""
    now = time.monotonic()
    for number in range(MIN_UNREACHED_TARGETS):
        placement.observations.reach.record_unreached(
            f'unreached-{number}', now - 1, now
        )
    peers.replace_hosts((HostRecord('host-2', 'dc-a', address),))
    freshness = Freshness(1, 0)
    link = LinkState(now + LINK_HEARD_FOR_S, freshness, cut_off=False)
    peers.record_link_state(address, link, freshness, now)


def _accounts_of(state: ClusterState | None) -> AccountDirectory:
    table = None if state is None else state.table
    return NO_ACCOUNTS if table is None else table.accounts
