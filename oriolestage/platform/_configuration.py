"""Decodes the configuration that operators write. Ignores unknown fields."""

from typing import Annotated

import msgspec

from oriolestage.admission._accounts import Account, AccountDirectory
from oriolestage.platform._header_values import can_be_sent
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

MS_PER_S = 1000
#: Values of ``routeType``.
ROUTE_TYPE_IDEMPOTENT = 'idempotent'
ROUTE_TYPE_NON_IDEMPOTENT = 'non_idempotent'
#: Value of ``maxAttempts`` for a route without one.
DEFAULT_MAX_ATTEMPTS = 1
#: Longest duration in a configuration, in milliseconds: 366 days.
MAX_DURATION_MS = 31_622_400_000
#: Highest number of attempts, connections or records.
MAX_COUNT = 1_000_000
#: Highest rate, in requests per second, and highest weight.
MAX_RATE = 1_000_000_000.0
#: Largest size of a head or body, in bytes: 1 TiB.
MAX_SIZE_BYTES = 1_099_511_627_776
#: Highest version: that of a signed 64-bit number.
MAX_VERSION = 9_223_372_036_854_775_807

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
_DurationMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_MS)]


class _Weighted(msgspec.Struct, frozen=True):
    service: str
    weight: _Rate


class _Route(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    host: str
    path_prefix: str
    # Says only whether a request may run more than once.
    route_type: str
    timeout_ms: _DurationMs
    # Bound within which an answer has its full use, not a latency to aim for.
    # Zero stands for the timeout.
    target_latency_ms: Annotated[
        float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)
    ] = 0
    priority: _Count = 0
    # Number of targets of one service that may run a request; attempts that
    # certainly did not run do not count.
    max_attempts: _Count = DEFAULT_MAX_ATTEMPTS
    allowed_regions: tuple[str, ...] = ()
    # True if a request needs no key.
    public: bool = False
    # One of the next three is set and not empty.
    service: str | None = None
    backends: tuple[_Weighted, ...] | None = None
    gather: tuple[str, ...] | None = None
    top_k: _Count = 0
    min_coverage: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0


class _Service(msgspec.Struct, frozen=True, rename='camel'):
    name: str
    # Path of the health check; empty if there is none.
    health_path: str = ''
    # Connections that one target accepts from all hosts together; zero means
    # no limit.
    max_connections: _Count = 0
    # Requests per second that a cold target carries; zero means no limit.
    warmup_per_s: _Rate = msgspec.field(default=0, name='warmupPerS')


class _Tenant(msgspec.Struct, frozen=True, rename='camel'):
    # Tenant is the platform's word for a client account.
    name: str
    api_keys: tuple[str, ...] = ()
    # Zero is the highest one; without it, the priority of the route applies.
    priority: _Count | None = None
    # Requests per second and beyond them, over all hosts; zero means no limit.
    rate_per_s: _Rate = msgspec.field(default=0, name='ratePerS')
    burst: _Rate = 0
    allowed_regions: tuple[str, ...] = ()


class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_SIZE_BYTES)] = (
        16_384
    )
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_SIZE_BYTES)] = (
        262_144
    )
    header_timeout_ms: _DurationMs = 3000
    idle_timeout_ms: _DurationMs = 15_000


class _Configuration(msgspec.Struct, frozen=True):
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


def decode_configuration(content: bytes) -> RoutingTable:
    """Return the routing table of a configuration.

    Raises ``msgspec.DecodeError`` or ``ValueError`` if it is invalid.
    """
    return _build_table(msgspec.json.decode(content, type=_Configuration))


def _build_table(document: _Configuration) -> RoutingTable:
    limits = document.limits
    return build_table(
        version=document.version,
        rules=tuple(_build_rule(route) for route in document.routes),
        services=tuple(
            ServiceRule(
                name=service.name,
                health_path=service.health_path,
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
        accounts=AccountDirectory(
            {
                _build_account(tenant): tenant.api_keys
                for tenant in document.tenants
            },
        ),
    )


def _build_account(tenant: _Tenant) -> Account:
    # The name becomes the value of a header.
    if not tenant.name or tenant.name != tenant.name.strip():
        raise ValueError(f'account name {tenant.name!r} is empty or padded')
    if not can_be_sent(tenant.name):
        raise ValueError(f'account name {tenant.name!r} cannot be sent')
    return Account(
        name=tenant.name,
        priority=tenant.priority,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        regions=frozenset(tenant.allowed_regions),
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
        public=route.public,
    )


def _build_destination(route: _Route) -> Destination:
    if route.gather:
        return ShardGroup(route.gather, route.top_k, route.min_coverage)
    if route.backends:
        return WeightedServices(
            tuple(
                WeightedService(backend.service, backend.weight)
                for backend in route.backends
            ),
        )
    if route.service is not None:
        return SingleService(route.service)
    raise ValueError(f'route {route.name!r} has no service, backends or gather')
