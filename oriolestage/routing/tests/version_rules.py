"""Rules on versions with a fixed split and fixed draws."""

from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._targets import TargetDirectory, TargetRecord
from oriolestage.routing._version_rules import VersionSplit
from oriolestage.routing._warm_up import WarmUpBounds
from oriolestage.routing.tests.builders import REGIONS


class FixedRules:
    """Returns one split for all services, and given draws in order."""

    def __init__(self, split: VersionSplit, draws: tuple[float, ...]) -> None:
        """Create rules; further draws are the last one."""
        self.drawn = 0
        self._split = split
        self._draws = draws

    def split(self, service: str, now: float) -> VersionSplit | None:
        """Return the split."""
        return self._split

    def draw(self) -> float:
        """Return the next draw."""
        self.drawn += 1
        return self._draws[min(self.drawn, len(self._draws)) - 1]


def make_ruled_placement(
    records: tuple[TargetRecord, ...],
    split: VersionSplit,
    *draws: float,
) -> tuple[Placement, FixedRules]:
    """Return the placement of a host that follows rules on versions."""
    directory = TargetDirectory()
    for record in records:
        directory.register(record, 0)
    rules = FixedRules(split, draws or (0,))
    placement = Placement(
        HostLocation('host-1', 'dc-a', REGIONS),
        directory,
        WarmUpBounds(),
        lambda _: None,
        rules,
    )
    placement.replace_hosts({'host-1': 'region-a'}, float('-inf'))
    return placement, rules
