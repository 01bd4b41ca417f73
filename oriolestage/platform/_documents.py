"""Decodes what operators and targets write into the store.

Each document is decoded once, into the types of the product. Fields that are
not known are ignored.
"""

import msgspec

from oriolestage.platform import _names
from oriolestage.relay._crash_detector import CrashReport
from oriolestage.relay._facts import (
    ConfigurationStored,
    CrashStored,
    DataCentreClosed,
    DataCentreOpened,
    HostRecord,
    HostRemoved,
    HostStored,
    StoredFact,
    TargetRemoved,
    TargetStored,
    UnreadableItem,
)
from oriolestage.relay._rules import (
    CallerLimits,
    Destination,
    RouteRule,
    RoutingTable,
    ServiceRule,
    ShardGroup,
    SingleService,
    WeightedService,
    WeightedServices,
    build_table,
)
from oriolestage.relay._targets import TargetRecord

MS_PER_S = 1000
#: States of a target's registration.
STATE_READY = 'ready'
STATE_DRAINING = 'draining'
#: Kinds of route.
KIND_REPEATABLE = 'idempotent'
KIND_ONCE = 'non_idempotent'
#: Base of the fingerprints in keys of our own.
HEXADECIMAL = 16
#: Attempts for a route that names none.
DEFAULT_ATTEMPTS = 1


class _Weighted(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    host: str
    path_prefix: str
    # The kind says only whether a request may be repeated.
    route_type: str
    timeout_ms: float
    # Not the latency aimed at, but the bound for the full use of an answer.
    target_latency_ms: float = 0
    priority: int = 0
    # Targets that may run a request, not sends.
    max_attempts: int = DEFAULT_ATTEMPTS
    allowed_regions: tuple[str, ...] = ()
    # One of the next three is set.
    service: str | None = None
    backends: tuple[_Weighted, ...] | None = None
    gather: tuple[str, ...] | None = None
    top_k: int = 0
    min_coverage: float = 1.0


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    # For all callers together.
    max_connections: int = 0
    # Zero where a cold target has no bound of its own.
    warmup_per_s: float = msgspec.field(default=0, name='warmupPerS')


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()


class _Registration(msgspec.Struct, frozen=True, rename='camel'):
    service: str
    address: str
    # The platform says zone for a data centre.
    zone: str
    concurrency_limit: int
    state: str
    warmup_left_ms: float = 0
    born: int = 0


class _Host(msgspec.Struct, frozen=True):
    data_centre: str
    peer_address: str


def decode_item(key: str, content: bytes) -> StoredFact | None:
    """Decode one item; None if it does not concern an entry host."""
    try:
        return _decode(key, content)
    except (msgspec.DecodeError, ValueError) as error:
        target = ''
        if key.startswith(_names.TARGET_PREFIX):
            target = key.removeprefix(_names.TARGET_PREFIX)
        return UnreadableItem(key, str(error), target)


def decode_removal(key: str) -> StoredFact | None:
    """Decode the removal of an item."""
    if key.startswith(_names.TARGET_PREFIX):
        return TargetRemoved(key.removeprefix(_names.TARGET_PREFIX))
    if key.startswith(_names.CLOSED_DATA_CENTRE_PREFIX):
        name = key.removeprefix(_names.CLOSED_DATA_CENTRE_PREFIX)
        return DataCentreOpened(name)
    if key.startswith(_names.HOST_PREFIX):
        return HostRemoved(key.removeprefix(_names.HOST_PREFIX))
    return None


def encode_host(record: HostRecord) -> bytes:
    """Encode what a host tells of itself."""
    return msgspec.json.encode(
        _Host(
            data_centre=record.data_centre,
            peer_address=record.peer_address,
        ),
    )


def crash_key(report: CrashReport) -> str:
    """Give the key under which a crash is reported."""
    return f'{_names.CRASH_PREFIX}{report.fingerprint:016x}/{report.target}'


def _decode(key: str, content: bytes) -> StoredFact | None:
    if key == _names.CONFIGURATION_KEY:
        document = msgspec.json.decode(content, type=_Configuration)
        return ConfigurationStored(_table(document))
    if key.startswith(_names.CLOSED_DATA_CENTRE_PREFIX):
        name = key.removeprefix(_names.CLOSED_DATA_CENTRE_PREFIX)
        return DataCentreClosed(name)
    if key.startswith(_names.TARGET_PREFIX):
        identity = key.removeprefix(_names.TARGET_PREFIX)
        return TargetStored(_target(identity, content))
    if key.startswith(_names.HOST_PREFIX):
        host = msgspec.json.decode(content, type=_Host)
        name = key.removeprefix(_names.HOST_PREFIX)
        return HostStored(
            HostRecord(name, host.data_centre, host.peer_address),
        )
    if key.startswith(_names.CRASH_PREFIX):
        fingerprint, _, target = key.removeprefix(
            _names.CRASH_PREFIX,
        ).partition('/')
        return CrashStored(CrashReport(int(fingerprint, HEXADECIMAL), target))
    return None


def _target(identity: str, content: bytes) -> TargetRecord:
    entry = msgspec.json.decode(content, type=_Registration)
    if entry.state not in {STATE_READY, STATE_DRAINING}:
        raise ValueError(f'unknown state {entry.state!r}')
    host, _, port = entry.address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'address {entry.address!r} is not ip:port')
    if entry.concurrency_limit < 1:
        raise ValueError('a target without slots')
    return TargetRecord(
        identity=identity,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=entry.concurrency_limit,
        draining=entry.state == STATE_DRAINING,
        warm_up_left_s=max(0, entry.warmup_left_ms) / MS_PER_S,
        started_ms=entry.born,
    )


def _table(document: _Configuration) -> RoutingTable:
    limits = document.limits
    return build_table(
        version=document.version,
        rules=tuple(_rule(route) for route in document.routes),
        services=tuple(
            ServiceRule(
                name=service.name,
                connection_limit=service.max_connections,
                warm_up_rate=service.warmup_per_s,
            )
            for service in document.services
        ),
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _rule(route: _Route) -> RouteRule:
    timeout_s = route.timeout_ms / MS_PER_S
    objective_s = route.target_latency_ms / MS_PER_S
    if route.route_type not in {KIND_REPEATABLE, KIND_ONCE}:
        raise ValueError(f'unknown kind of route {route.route_type!r}')
    return RouteRule(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        destination=_destination(route),
        repeatable=route.route_type == KIND_REPEATABLE,
        timeout_s=timeout_s,
        objective_s=objective_s or timeout_s,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        regions=frozenset(route.allowed_regions),
    )


def _destination(route: _Route) -> Destination:
    if route.gather is not None:
        return ShardGroup(route.gather, route.top_k, route.min_coverage)
    if route.backends is not None:
        return WeightedServices(
            tuple(
                WeightedService(backend.service, backend.weight)
                for backend in route.backends
            ),
        )
    if route.service is not None:
        return SingleService(route.service)
    raise ValueError(f'route {route.name!r} leads nowhere')
