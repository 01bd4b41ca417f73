"""Builders of test data for the routing package."""

import dataclasses
from collections.abc import Mapping

from oriolestage.pacing._target_paces import TargetPaces
from oriolestage.routing._answers import (
    TargetAnswer,
)
from oriolestage.routing._crash_detector import CrashDetector
from oriolestage.routing._even_shares import EvenShare
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._retry_budget import BudgetBounds, RetryBudget
from oriolestage.routing._rules import (
    Destination,
    RouteRule,
    ShardGroup,
    SingleService,
)
from oriolestage.routing._targets import TargetDirectory, TargetRecord
from oriolestage.routing._warm_up import WarmUpBounds

#: Three data centres, each in a region of its own.
REGIONS: Mapping[str, str] = {  # noqa: WPS407
    'dc-a': 'region-a',
    'dc-b': 'region-b',
    'dc-c': 'region-c',
}
DATA_CENTRES = tuple(REGIONS)
#: Round trip within a data centre and to another region, in seconds.
NEAR_S = 0.001
FAR_S = 0.041
#: How long before its objective a partial answer is given, in seconds.
DELIVERY_MARGIN_S = 0.006


def make_record(
    identity: str = 't-1',
    service: str = 'shard-0',
    data_centre: str = 'dc-a',
    **changes: object,
) -> TargetRecord:
    """Return the registration of a warm target that takes work."""
    record = TargetRecord(
        identity=identity,
        service=service,
        address='10.0.0.1:8080',
        data_centre=data_centre,
        slots=2,
        draining=False,
        warm_up_left_s=0,
        started_ms=1,
    )
    return dataclasses.replace(record, **changes)  # type: ignore[arg-type]


def make_rule(
    destination: Destination | None = None,
    **changes: object,
) -> RouteRule:
    """Return a rule for repeatable requests to one service."""
    rule = RouteRule(
        name='route',
        host='search.example',
        path_prefix='/rota/',
        destination=destination or SingleService('shard-0'),
        repeatable=True,
        timeout_s=1.5,
        objective_s=0.16,
        max_attempts=2,
    )
    return dataclasses.replace(rule, **changes)  # type: ignore[arg-type]


def make_group(shards: int = 20, min_coverage: float = 0.89) -> ShardGroup:
    """Return a destination of ``shards`` services, one for each shard."""
    return ShardGroup(
        services=tuple(f'shard-{number}' for number in range(shards)),
        top_records=5,
        min_coverage=min_coverage,
    )


def make_answer(
    status: int = 200,
    body: bytes = b'r' * 16,
    signature: str = 'signed',
) -> TargetAnswer:
    """Return an answer of a target."""
    return TargetAnswer(status, (), body, signature)


def make_placement(
    data_centre: str = 'dc-a',
    records: tuple[TargetRecord, ...] = (),
    name: str = 'host-1',
    paces: TargetPaces | None = None,
) -> tuple[Placement, TargetDirectory]:
    """Return a placement and its directory, which holds ``records``.

    Its host has been registered for long. Targets are not paced without
    ``paces``.
    """
    directory = TargetDirectory()
    for record in records:
        directory.register(record, 0)
    location = HostLocation(name, data_centre, REGIONS)
    placement = Placement(
        location, directory, WarmUpBounds(), lambda _: None, paces=paces
    )
    placement.replace_hosts({name: location.region}, float('-inf'))
    return placement, directory


def make_crash_detector() -> CrashDetector:
    """Return a crash detector that discards its log events."""
    return CrashDetector(lambda _: None)


def make_budget(
    bounds: BudgetBounds | None = None,
    started_at: float = 0,
    *,
    host: str = 'host-1',
    service: str = 'shard-0',
) -> RetryBudget:
    """Return the budget of one host for one service."""
    return RetryBudget(
        bounds or BudgetBounds(), started_at, EvenShare(service, host)
    )


def shard_records(shards: int = 20) -> tuple[TargetRecord, ...]:
    """Return two targets per shard, distributed over the data centres."""
    records: list[TargetRecord] = []
    for shard in range(shards):
        for copy in range(2):
            data_centre = DATA_CENTRES[(shard + copy) % len(DATA_CENTRES)]
            records.append(
                make_record(
                    identity=f't-{shard}-{copy}',
                    service=f'shard-{shard}',
                    data_centre=data_centre,
                ),
            )
    return tuple(records)


def make_peers(location: HostLocation) -> PeerDirectory:
    """Return a directory with one other host in each data centre."""
    peers = PeerDirectory(location)
    peers.replace_hosts(
        HostRecord(f'peer-{data_centre}', data_centre, f'{data_centre}:1')
        for data_centre in DATA_CENTRES
    )
    return peers
