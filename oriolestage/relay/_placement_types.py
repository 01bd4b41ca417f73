"""What the choice of a target is asked and what it answers."""

import dataclasses
from collections.abc import Mapping

from oriolestage.relay._targets import KnownTarget


@dataclasses.dataclass(frozen=True, slots=True)
class HostLocation:
    """Where this host stands."""

    name: str
    data_centre: str
    #: Region of each data centre.
    regions: Mapping[str, str]

    @property
    def region(self) -> str:
        """Region of this host."""
        return self.regions.get(self.data_centre, '')

    def region_of(self, data_centre: str) -> str:
        """Give the region of a data centre; empty if it is not known."""
        return self.regions.get(data_centre, '')


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequirements:
    """What an attempt needs of its target."""

    service: str
    #: Route of the request; its requests take similar work.
    route: str
    #: Regions that may serve it; empty means all.
    regions: frozenset[str] = frozenset()
    #: Connections that a target accepts from all hosts; 0 means no limit.
    connection_limit: int = 0
    #: Requests a second that a cold target carries; 0 means no limit.
    warm_up_rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenTarget:
    """The target that an attempt goes to."""

    target: KnownTarget
    #: Expected delay of the answer, in seconds.
    expected_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoom:
    """Targets exist, but none may take an attempt now."""

    #: Time after which one may have room, in seconds.
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """The service has no usable target."""


PlacementResult = ChosenTarget | NoRoom | NoTarget
