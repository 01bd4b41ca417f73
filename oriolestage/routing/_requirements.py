"""Derives the requirements on a target from the current routing table."""

from oriolestage.routing._placement_types import TargetRequirements
from oriolestage.routing._rules import RoutingTable, ServiceRule

#: Used for services that the configuration does not describe: no limits.
UNKNOWN_SERVICE = ServiceRule(name='', connection_limit=0)


def build_requirements(
    table: RoutingTable | None,
    service: str,
    route: str,
    regions: frozenset[str],
) -> TargetRequirements:
    """Return the requirements on a target of a service.

    ``regions`` are those that may serve the request; empty means all.
    Without a table, or for an unknown service, no limits apply.
    """
    rule = UNKNOWN_SERVICE
    if table is not None:
        rule = table.services.get(service, UNKNOWN_SERVICE)
    return TargetRequirements(
        service=service,
        route=route,
        regions=regions,
        connection_limit=rule.connection_limit,
        warm_up_rate=rule.warm_up_rate,
    )
