"""The rules by which callers' requests reach groups of targets.

A routing table is one version of the operators' configuration. It is
immutable: a request keeps the table that it started with.
"""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class SingleService:
    """Every request goes to one service."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a weighted group."""

    name: str
    #: Share of the requests, relative to the other weights.
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedServices:
    """Requests are divided over services in proportion to their weights."""

    choices: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardGroup:
    """Every request goes to one target of each service, the shards."""

    services: tuple[str, ...]
    #: Number of records in the merged answer.
    top_records: int
    #: Smallest share of the shards that makes an answer, from 0 to 1.
    min_coverage: float


Destination = SingleService | WeightedServices | ShardGroup


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Where requests of one host name and path prefix go."""

    name: str
    #: Host name that the caller asks for, in lower case.
    host: str
    #: Beginning of the path, from slash to slash.
    path_prefix: str
    destination: Destination
    #: True if a request may run more than once.
    repeatable: bool
    #: Longest time for which a caller is kept waiting, in seconds.
    timeout_s: float
    #: Time within which an answer has its full use, in seconds.
    objective_s: float
    #: Most targets of one service that may run one request.
    max_attempts: int
    #: Rank under load; 0 is served first.
    priority: int = 0
    #: Regions that may serve the request; empty means all.
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """What all targets of one service have in common."""

    name: str
    #: Connections that one target accepts from all callers together.
    connection_limit: int
    #: Requests a second that a cold target carries; 0 means no limit.
    warm_up_rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration."""

    version: int
    #: Rules by host name, the longest prefix first.
    rules: Mapping[str, tuple[RouteRule, ...]]
    services: Mapping[str, ServiceRule]
    limits: CallerLimits

    def find(self, host: str, path: str) -> RouteRule | None:
        """Give the rule with the longest prefix that begins ``path``."""
        for rule in self.rules.get(host.lower(), ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None


def build_table(
    version: int,
    rules: tuple[RouteRule, ...],
    services: tuple[ServiceRule, ...],
    limits: CallerLimits,
) -> RoutingTable:
    """Index rules by host name, longest prefix first."""
    by_host: dict[str, list[RouteRule]] = {}
    for rule in rules:
        by_host.setdefault(rule.host, []).append(rule)
    return RoutingTable(
        version=version,
        rules={
            host: tuple(
                sorted(listed, key=_prefix_length, reverse=True),
            )
            for host, listed in by_host.items()
        },
        services={service.name: service for service in services},
        limits=limits,
    )


def _prefix_length(rule: RouteRule) -> int:
    return len(rule.path_prefix)
