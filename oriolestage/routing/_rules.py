"""Routing rules: which services a caller's request is sent to.

A routing table is one version of the operators' configuration. It is
immutable, and a request uses the table it started with until it ends.
"""

import dataclasses
from collections.abc import Mapping

from oriolestage.admission._accounts import NO_ACCOUNTS, AccountDirectory


@dataclasses.dataclass(frozen=True, slots=True)
class SingleService:
    """Destination: every request goes to the same service."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One choice of ``WeightedServices``."""

    name: str
    #: Share of the requests, relative to the weights of the other choices.
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedServices:
    """Destination: each request goes to one service, chosen by weight."""

    choices: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardGroup:
    """Destination: every request goes to all services, one per shard."""

    #: Services of the shards.
    services: tuple[str, ...]
    #: Maximum number of records in the merged answer.
    top_records: int
    #: Minimum share of answered shards for an answer, from 0 to 1.
    min_coverage: float


Destination = SingleService | WeightedServices | ShardGroup


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """How requests with one host name and path prefix are routed."""

    name: str
    #: Requested host name, in lower case.
    host: str
    #: Path prefix; begins and ends with a slash.
    path_prefix: str
    destination: Destination
    #: True if a request may run more than once (idempotent).
    repeatable: bool
    #: Maximum time that a caller waits for an answer, in seconds.
    timeout_s: float
    #: Latency objective for an answer, in seconds.
    objective_s: float
    #: Maximum number of targets of one service that may run one request;
    #: attempts that certainly did not run are not counted.
    max_attempts: int
    #: Priority under load; 0 is served first.
    priority: int = 0
    #: Regions that may serve the request; empty means all.
    regions: frozenset[str] = frozenset()
    #: True if requests need no key of an account.
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """Limits that apply to each target of one service."""

    name: str
    #: Maximum connections to one target from all hosts together; 0 means no
    #: limit.
    connection_limit: int
    #: Requests per second that a cold target can serve; 0 means no limit.
    warm_up_rate: float = 0
    #: Path of the health check; empty if there is none.
    health_path: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    #: Maximum size of the header section.
    header_bytes: int = 16_384
    #: Maximum size of the body.
    body_bytes: int = 262_144
    #: Maximum time to receive the header section.
    header_timeout_s: float = 3.0
    #: Time after which an idle connection is closed.
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """The routes, services and limits of one configuration version."""

    version: int
    #: Rules by host name, longest path prefix first.
    rules: Mapping[str, tuple[RouteRule, ...]]
    #: Services by name.
    services: Mapping[str, ServiceRule]
    limits: CallerLimits
    #: Client accounts; empty if requests carry no keys.
    accounts: AccountDirectory = NO_ACCOUNTS

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the rule whose prefix is the longest match for ``path``.

        Host names match without regard to case. Return None if no rule
        matches.
        """
        for rule in self.rules.get(host.lower(), ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None


def build_table(
    version: int,
    rules: tuple[RouteRule, ...],
    services: tuple[ServiceRule, ...],
    limits: CallerLimits,
    accounts: AccountDirectory = NO_ACCOUNTS,
) -> RoutingTable:
    """Return a table with the rules indexed by host name."""
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
        accounts=accounts,
    )


def _prefix_length(rule: RouteRule) -> int:
    return len(rule.path_prefix)
