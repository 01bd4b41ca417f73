"""Explains where a request would go now, and why, without sending it."""

import dataclasses

from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    NoCapacity,
    TargetRequirements,
)
from oriolestage.routing._requirements import build_requirements
from oriolestage.routing._rules import (
    RouteRule,
    RoutingTable,
    ShardGroup,
    SingleService,
    WeightedServices,
)
from oriolestage.routing._targets import KnownTarget

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """One registered target of a service, as this host sees it."""

    target: str
    data_centre: str
    version: str
    #: Why it cannot get the request now; empty if it can.
    obstacle: str
    #: Time until it may get one, in milliseconds; 0 if unknown or now.
    wait_ms: float
    #: Expected delay of an answer, in milliseconds.
    expected_ms: float
    #: Attempts of this host that are not answered yet.
    outstanding: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """Where the request, or its part at one service, would go."""

    service: str
    #: Identity of the chosen target; empty if there is none.
    chosen: str
    reason: str
    targets: tuple[TargetView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestView:
    """Where a request would go now."""

    #: Version of the configuration; -1 without one.
    version: int
    #: Name of the route; empty if none matches.
    route: str
    #: Why it would be refused before a target is chosen; empty if not.
    refused: str
    services: tuple[ServiceView, ...] = ()


def explain_request(
    table: RoutingTable | None,
    placement: Placement,
    host: str,
    path: str,
    account_name: str,
    now: float,
) -> RequestView:
    """Return where a request to ``host`` and ``path`` would go now.

    ``account_name`` is that of its account; empty without one. Nothing is
    sent and nothing is counted.
    """
    if table is None:
        return RequestView(-1, '', 'no_configuration')
    rule = table.find(host, path.partition('?')[0])
    if rule is None:
        return RequestView(table.version, '', 'unknown_route')
    account = table.accounts.named(account_name)
    if table.accounts and account is None and not rule.public:
        return RequestView(table.version, rule.name, 'unknown_account')
    regions = rule.regions
    if account is not None and account.regions:
        regions = (regions & account.regions) if regions else account.regions
        if not regions:
            return RequestView(table.version, rule.name, 'no_region')
    services: list[ServiceView] = []
    for service in _services_of(rule):
        requirements = build_requirements(table, service, rule.name, regions)
        services.append(_explain_service(placement, requirements, now))
    return RequestView(table.version, rule.name, '', tuple(services))


def _services_of(rule: RouteRule) -> tuple[str, ...]:
    """Return the services that a request needs, or may be sent to."""
    match rule.destination:
        case ShardGroup(services=services):
            return services
        case SingleService(name=name):
            return (name,)
        case WeightedServices(choices=choices):
            return tuple(choice.name for choice in choices)


def _explain_service(
    placement: Placement, requirements: TargetRequirements, now: float
) -> ServiceView:
    chosen = ''
    match placement.choose(requirements, (), now):
        case ChosenTarget(target=target, expected_s=expected_s):
            chosen = target.record.identity
            reason = f'least expected delay: {expected_s * MS_PER_S:.1f} ms'
        case NoCapacity(wait_s=wait_s, shortage=shortage):
            cause = shortage.cause.value
            reason = f'no capacity ({cause}) for {wait_s * MS_PER_S:.0f} ms'
        case _:
            reason = 'no usable target'
    views = tuple(
        _explain_target(placement, requirements, target, now)
        for target in placement.directory.registered(requirements.service)
    )
    return ServiceView(requirements.service, chosen, reason, views)


def _explain_target(
    placement: Placement,
    requirements: TargetRequirements,
    target: KnownTarget,
    now: float,
) -> TargetView:
    obstacle = placement.directory.obstacle(target)
    wait_s: float = 0
    if not obstacle and not placement.permits(requirements, target, now):
        obstacle = 'region_or_version'
    if not obstacle:
        refused = placement.refuse(requirements, target, now)
        if refused is not None:
            obstacle = refused.shortage.cause.value
            wait_s = refused.wait_s
    expected_s = placement.observations.expected_s(
        target, requirements.route, now
    )
    return TargetView(
        target=target.record.identity,
        data_centre=target.record.data_centre,
        version=target.record.version,
        obstacle=obstacle,
        wait_ms=round(wait_s * MS_PER_S, 1),
        expected_ms=round(expected_s * MS_PER_S, 1),
        outstanding=placement.observations.load_of(target).outstanding,
    )
