"""Decodes the items of the store, and encodes those that hosts write.

Operators write the configuration, targets their registrations, and hosts
their own registrations and crash reports. Unknown fields are ignored.
"""

import base64

import msgspec

from oriolestage.platform import _names
from oriolestage.routing._crash_detector import CrashReport
from oriolestage.routing._facts import (
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
from oriolestage.routing._rules import (
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
from oriolestage.routing._targets import TargetRecord

MS_PER_S = 1000
#: Values of ``state`` in the registration of a target.
STATE_READY = 'ready'
STATE_DRAINING = 'draining'
#: Values of ``routeType``.
ROUTE_TYPE_IDEMPOTENT = 'idempotent'
ROUTE_TYPE_NON_IDEMPOTENT = 'non_idempotent'
#: Base of the fingerprints in the keys of crash reports.
FINGERPRINT_BASE = 16
#: Longest text that says why an item cannot be read, in characters.
MAX_PROBLEM_CHARACTERS = 300
#: Value of ``maxAttempts`` for a route without one.
DEFAULT_MAX_ATTEMPTS = 1


class _Weighted(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    host: str
    path_prefix: str
    # Says only whether a request may run more than once.
    route_type: str
    timeout_ms: float
    # Bound within which an answer has its full use, not a latency to aim for.
    # Zero stands for the timeout.
    target_latency_ms: float = 0
    priority: int = 0
    # Number of targets of one service that may run a request; attempts that
    # certainly did not run do not count.
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    allowed_regions: tuple[str, ...] = ()
    # One of the next three is set.
    service: str | None = None
    backends: tuple[_Weighted, ...] | None = None
    gather: tuple[str, ...] | None = None
    top_k: int = 0
    min_coverage: float = 1.0


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    # Connections that one target accepts from all hosts together; zero means
    # no limit.
    max_connections: int = 0
    # Requests per second that a cold target carries; zero means no limit.
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
    # Zone is the platform's word for a data centre.
    zone: str
    concurrency_limit: int
    state: str
    warmup_left_ms: float = 0
    # Start of the process, Unix time in milliseconds.
    born: int = 0


class _Host(msgspec.Struct, frozen=True):
    data_centre: str
    peer_address: str


def decode_item(key: str, content: bytes) -> StoredFact | None:
    """Decode one item.

    Return :class:`UnreadableItem` if it is invalid, and None if its key does
    not concern an entry host. Whatever the bytes are, no error is raised:
    the items before and after this one are still to be read.
    """
    try:
        return _decode_by_key(key, content)
    except (msgspec.DecodeError, ValueError) as error:
        return _unreadable(key, str(error))
    except Exception as error:  # noqa: BLE001 - such as a nesting too deep
        return _unreadable(key, f'{type(error).__name__}: {error}')


def decode_value(key: str, value: object) -> StoredFact | None:
    """Decode one item from its value as the store returns it: base64 text.

    The result is that of :func:`decode_item`; a value that is no such text
    makes the item unreadable.
    """
    if not isinstance(value, str):
        return _unreadable(key, f'value of type {type(value).__name__}')
    try:
        content = base64.b64decode(value, validate=True)
    except ValueError as error:
        return _unreadable(key, str(error))
    return decode_item(key, content)


def _unreadable(key: str, problem: str) -> UnreadableItem:
    target = ''
    if key.startswith(_names.TARGET_PREFIX):
        target = key.removeprefix(_names.TARGET_PREFIX)
    return UnreadableItem(key, problem[:MAX_PROBLEM_CHARACTERS], target)


def decode_removal(key: str) -> StoredFact | None:
    """Decode the removal of an item.

    Return None if an entry host need not act on it.
    """
    if key.startswith(_names.TARGET_PREFIX):
        return TargetRemoved(key.removeprefix(_names.TARGET_PREFIX))
    if key.startswith(_names.CLOSED_DATA_CENTRE_PREFIX):
        name = key.removeprefix(_names.CLOSED_DATA_CENTRE_PREFIX)
        return DataCentreOpened(name)
    if key.startswith(_names.HOST_PREFIX):
        return HostRemoved(key.removeprefix(_names.HOST_PREFIX))
    return None


def encode_host(record: HostRecord) -> bytes:
    """Encode the registration of a host."""
    return msgspec.json.encode(
        _Host(
            data_centre=record.data_centre,
            peer_address=record.peer_address,
        ),
    )


def crash_key(report: CrashReport) -> str:
    """Return the key under which a crash report is stored."""
    return f'{_names.CRASH_PREFIX}{report.fingerprint:016x}/{report.target}'


def _decode_by_key(key: str, content: bytes) -> StoredFact | None:
    if key == _names.CONFIGURATION_KEY:
        document = msgspec.json.decode(content, type=_Configuration)
        return ConfigurationStored(_build_table(document))
    if key.startswith(_names.CLOSED_DATA_CENTRE_PREFIX):
        name = key.removeprefix(_names.CLOSED_DATA_CENTRE_PREFIX)
        return DataCentreClosed(name)
    if key.startswith(_names.TARGET_PREFIX):
        identity = key.removeprefix(_names.TARGET_PREFIX)
        return TargetStored(_decode_target(identity, content))
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
        return CrashStored(
            CrashReport(int(fingerprint, FINGERPRINT_BASE), target)
        )
    return None


def _decode_target(identity: str, content: bytes) -> TargetRecord:
    entry = msgspec.json.decode(content, type=_Registration)
    if entry.state not in {STATE_READY, STATE_DRAINING}:
        raise ValueError(f'unknown state {entry.state!r}')
    host, _, port = entry.address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(
            f'address {entry.address!r} is not of the form ip:port'
        )
    if entry.concurrency_limit < 1:
        raise ValueError('concurrencyLimit must be at least 1')
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


def _build_table(document: _Configuration) -> RoutingTable:
    limits = document.limits
    return build_table(
        version=document.version,
        rules=tuple(_build_rule(route) for route in document.routes),
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


def _build_rule(route: _Route) -> RouteRule:
    timeout_s = route.timeout_ms / MS_PER_S
    objective_s = route.target_latency_ms / MS_PER_S
    if route.route_type not in {
        ROUTE_TYPE_IDEMPOTENT,
        ROUTE_TYPE_NON_IDEMPOTENT,
    }:
        raise ValueError(f'unknown routeType {route.route_type!r}')
    return RouteRule(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        destination=_build_destination(route),
        repeatable=route.route_type == ROUTE_TYPE_IDEMPOTENT,
        timeout_s=timeout_s,
        objective_s=objective_s or timeout_s,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        regions=frozenset(route.allowed_regions),
    )


def _build_destination(route: _Route) -> Destination:
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
    raise ValueError(f'route {route.name!r} has no service, backends or gather')
