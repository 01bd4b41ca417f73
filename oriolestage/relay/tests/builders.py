"""Builders of test data for the decisions on requests."""

import dataclasses
from collections.abc import Mapping

from oriolestage.relay._answers import (
    TargetAnswer,
)
from oriolestage.relay._crash_watch import CrashWatch
from oriolestage.relay._facts import HostRecord
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement
from oriolestage.relay._placement_types import HostPlace
from oriolestage.relay._rules import (
    Destination,
    RouteRule,
    ShardGroup,
    SingleService,
)
from oriolestage.relay._targets import TargetDirectory, TargetRecord
from oriolestage.relay._warm_up import WarmUpBounds

#: Three data centres, each in a region of its own.
REGIONS: Mapping[str, str] = {  # noqa: WPS407
    'dc-a': 'region-a',
    'dc-b': 'region-b',
    'dc-c': 'region-c',
}
DATA_CENTRES = tuple(REGIONS)
#: Delay of the way there and back, in seconds.
NEAR_S = 0.001
FAR_S = 0.041


def make_record(
    identity: str = 't-1',
    service: str = 'shard-0',
    data_centre: str = 'dc-a',
    **changes: object,
) -> TargetRecord:
    """Give a registration of a ready, warm target."""
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
    """Give a rule for repeatable requests to one service."""
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


def make_group(shards: int = 20, least: float = 0.89) -> ShardGroup:
    """Give a group of shards."""
    return ShardGroup(
        services=tuple(f'shard-{number}' for number in range(shards)),
        top_records=5,
        min_coverage=least,
    )


def make_answer(
    status: int = 200,
    body: bytes = b'r' * 16,
    signature: str = 'signed',
) -> TargetAnswer:
    """Give a target's answer."""
    return TargetAnswer(status, (), body, signature)


def make_placement(
    data_centre: str = 'dc-a',
    records: tuple[TargetRecord, ...] = (),
    name: str = 'host-1',
) -> tuple[Placement, TargetDirectory]:
    """Give a placement that knows ``records``."""
    directory = TargetDirectory()
    for record in records:
        directory.register(record, 0)
    place = HostPlace(name, data_centre, REGIONS)
    placement = Placement(place, directory, WarmUpBounds(), lambda _: None)
    return placement, directory


def make_crash_watch() -> CrashWatch:
    """Give a watch for requests that crash targets."""
    return CrashWatch(lambda _: None)


def shard_records(shards: int = 20) -> tuple[TargetRecord, ...]:
    """Give two targets a shard, spread over the data centres in turn."""
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


def make_peers(place: HostPlace) -> PeerBook:
    """Give a book with one other host in each data centre."""
    peers = PeerBook(place)
    peers.replace_hosts(
        HostRecord(f'peer-{data_centre}', data_centre, f'{data_centre}:1')
        for data_centre in DATA_CENTRES
    )
    return peers
