"""Divides the first attempts of a query over direct ones and batches.

Answers the load pattern in which a query needs many shards of which some
have no good target in this host's region: those go in one batch for each
region to a host there, chosen so that few batches are needed.
"""

import dataclasses

from oriolestage.relay._facts import HostRecord
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement
from oriolestage.relay._placement_types import Chosen, Wanted

#: Smallest number of shards that is worth a batch.
MIN_BATCH_SHARDS = 2
#: A region may be this much slower than the best one if that saves a batch,
#: in seconds.
REGION_TOLERANCE_S = 0.008


@dataclasses.dataclass(slots=True)
class Batch:
    """Parts that one host of another region gathers."""

    peer: HostRecord
    region: str
    #: Positions of the parts.
    positions: tuple[int, ...]
    #: Steady time at which it was sent, and by which the answer should be
    #: here.
    sent_at: float = 0
    due_at: float = float('inf')
    #: Delay of the way there and back, in seconds.
    round_trip_s: float = 0
    #: True until its merged records came; they replace what hedges gave.
    awaits_merged: bool = False
    #: True once a reply came.
    replied: bool = False


def plan_batches(
    part_requirements: tuple[Wanted, ...],
    placement: Placement,
    peers: PeerBook,
    now: float,
) -> list[Batch]:
    """Give the batches; what is in none is sent directly."""
    regions_of = _remote_parts(part_requirements, placement, now)
    batches: list[Batch] = []
    while regions_of:
        region = _most_common_region(regions_of)
        members = tuple(
            position
            for position, regions in regions_of.items()
            if region in regions
        )
        peer = peers.choose(region)
        if len(members) < MIN_BATCH_SHARDS:
            break
        if peer is None:
            _drop_region(regions_of, region)
            continue
        batches.append(Batch(peer, region, members))
        for position in members:
            regions_of.pop(position)
    return batches


def _remote_parts(
    part_requirements: tuple[Wanted, ...],
    placement: Placement,
    now: float,
) -> dict[int, set[str]]:
    """Give the regions that can serve each part that goes far."""
    home = placement.place.region
    found: dict[int, set[str]] = {}
    for position, requirements in enumerate(part_requirements):
        best = placement.choose(requirements, (), now)
        if not isinstance(best, Chosen):
            continue
        if placement.place.region_of(best.target.record.data_centre) == home:
            continue
        regions = {
            region
            for region in set(placement.place.regions.values())
            if region != home
            and _expected_s(region, requirements, placement, now)
            <= best.expected_s + REGION_TOLERANCE_S
        }
        if regions:
            found[position] = regions
    return found


def _expected_s(
    region: str,
    requirements: Wanted,
    placement: Placement,
    now: float,
) -> float:
    """Give the expected delay in a region; infinite if it cannot serve."""
    if requirements.regions and region not in requirements.regions:
        return float('inf')
    there = dataclasses.replace(requirements, regions=frozenset((region,)))
    placed = placement.choose(there, (), now)
    return placed.expected_s if isinstance(placed, Chosen) else float('inf')


def _most_common_region(regions_of: dict[int, set[str]]) -> str:
    counts: dict[str, int] = {}
    for regions in regions_of.values():
        for region in regions:
            counts[region] = counts.get(region, 0) + 1
    return max(sorted(counts), key=lambda region: counts[region])


def _drop_region(regions_of: dict[int, set[str]], region: str) -> None:
    for position, regions in tuple(regions_of.items()):
        regions.discard(region)
        if not regions:
            regions_of.pop(position)
