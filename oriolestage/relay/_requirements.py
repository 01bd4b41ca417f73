"""What an attempt at a service needs of its target, by the rules in force."""

from oriolestage.relay._placement_types import Wanted
from oriolestage.relay._rules import RoutingTable, ServiceRule

#: Stands for services that the configuration does not describe.
UNKNOWN_SERVICE = ServiceRule(name='', connection_limit=0)


def build_requirements(
    table: RoutingTable | None,
    service: str,
    route: str,
    regions: frozenset[str],
) -> Wanted:
    """Give what an attempt needs; ``regions`` that may serve it, or none."""
    rule = UNKNOWN_SERVICE
    if table is not None:
        rule = table.services.get(service, UNKNOWN_SERVICE)
    return Wanted(
        service=service,
        route=route,
        regions=regions,
        connection_limit=rule.connection_limit,
        warm_up_rate=rule.warm_up_rate,
    )
