"""Plans which first attempts of a query are sent in batches.

Handles the load pattern in which a query needs many shards and some have no
good target in this host's region. These shards are grouped into one batch
per region for an entry host there; regions are chosen greedily, most shards
first, so that few batches are needed. All other shards are sent directly.
"""

import dataclasses
from collections.abc import Sequence

from oriolestage.routing._facts import HostRecord
from oriolestage.routing._parts import Part
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    PlacementResult,
    TargetRequirements,
)
from oriolestage.routing._target_choice import TargetChooser
from oriolestage.routing._version_rules import LAST_EXPOSED

#: Minimum number of shards in a batch; fewer are sent directly.
MIN_BATCH_SHARDS = 2
#: A shard may be assigned to a region whose expected delay exceeds that of
#: its best target by up to this time, in seconds, to save a batch.
REGION_TOLERANCE_S = 0.008


@dataclasses.dataclass(slots=True)
class Batch:
    """Parts that one entry host of another region gathers."""

    peer: HostRecord
    region: str
    #: Indexes of the parts in the request.
    positions: tuple[int, ...]
    #: Monotonic time at which it was sent.
    sent_at: float = 0
    #: Monotonic time by which the first reply should have arrived.
    due_at: float = float('inf')
    #: Network round-trip time to the region, in seconds.
    round_trip_s: float = 0
    #: True for a merged batch until its merged records arrive, which replace
    #: the records of hedges for the same shards.
    awaits_merged: bool = False
    #: True once a reply has arrived.
    replied: bool = False
    #: Indexes by service of the parts that no reply has ended yet.
    unanswered: dict[str, int] = dataclasses.field(default_factory=dict)
    #: True once the parts that an answer left out were marked as late.
    late_marked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FirstPlan:
    """How the first attempts of a query are sent."""

    batches: list[Batch]
    #: The choice for each part, by its index, whether it is in a batch or not.
    choices: list[PlacementResult]


def plan_batches(
    parts: tuple[Part, ...],
    chooser: TargetChooser,
    placement: Placement,
    peers: PeerDirectory,
    now: float,
) -> FirstPlan:
    """Return the batches; parts in none of them are sent one by one."""
    part_requirements = tuple(part.request.requirements for part in parts)
    choices = [chooser.choose(part, (), now) for part in parts]
    candidate_regions = _remote_parts(
        part_requirements, choices, placement, now
    )
    batches: list[Batch] = []
    while candidate_regions:
        region = _most_common_region(candidate_regions)
        members = tuple(
            position
            for position, regions in candidate_regions.items()
            if region in regions
        )
        services = [part_requirements[place].service for place in members]
        peer = peers.choose(region, services, now)
        if len(members) < MIN_BATCH_SHARDS:
            break
        if peer is None:
            _drop_region(candidate_regions, region)
            continue
        batches.append(Batch(peer, region, members))
        for position in members:
            candidate_regions.pop(position)
    return FirstPlan(batches, choices)


def _remote_parts(
    part_requirements: tuple[TargetRequirements, ...],
    choices: Sequence[PlacementResult],
    placement: Placement,
    now: float,
) -> dict[int, set[str]]:
    """Return the candidate regions of each part to be served remotely.

    Keys are the positions of the parts whose best target is in another
    region; values are the other regions that are about as fast.
    """
    own_region = placement.location.region
    found: dict[int, set[str]] = {}
    for position, best in enumerate(choices):
        if not isinstance(best, ChosenTarget) or best.relayed:
            continue
        if (
            placement.location.region_of(best.target.record.data_centre)
            == own_region
        ):
            continue
        regions = {
            region
            for region in set(placement.location.regions.values())
            if region != own_region
            and _expected_s(region, part_requirements[position], placement, now)
            <= best.expected_s + REGION_TOLERANCE_S
        }
        if regions:
            found[position] = regions
    return found


def _expected_s(
    region: str,
    requirements: TargetRequirements,
    placement: Placement,
    now: float,
) -> float:
    """Return the expected delay in a region, in seconds.

    Infinite if the region has no free target or may not serve the request.
    """
    if requirements.regions and region not in requirements.regions:
        return float('inf')
    in_region = dataclasses.replace(requirements, regions=frozenset((region,)))
    placed = placement.choose(in_region, (), now, draw=LAST_EXPOSED)
    return (
        placed.expected_s if isinstance(placed, ChosenTarget) else float('inf')
    )


def _most_common_region(candidate_regions: dict[int, set[str]]) -> str:
    counts: dict[str, int] = {}
    for regions in candidate_regions.values():
        for region in regions:
            counts[region] = counts.get(region, 0) + 1
    return max(sorted(counts), key=lambda region: counts[region])


def _drop_region(candidate_regions: dict[int, set[str]], region: str) -> None:
    for position, regions in tuple(candidate_regions.items()):
        regions.discard(region)
        if not regions:
            candidate_regions.pop(position)
