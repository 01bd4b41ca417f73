"""Inputs and results of the choice of a target."""

import dataclasses
import enum
from collections.abc import Mapping

from oriolestage.routing._targets import KnownTarget


@dataclasses.dataclass(frozen=True, slots=True)
class HostLocation:
    """Name, data centre and region of this host."""

    name: str
    data_centre: str
    #: Region of each data centre.
    regions: Mapping[str, str]

    @property
    def region(self) -> str:
        """Region of this host; empty if it is not known."""
        return self.regions.get(self.data_centre, '')

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre; empty if it is not known."""
        return self.regions.get(data_centre, '')


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequirements:
    """Constraints on the target of an attempt."""

    service: str
    #: Route of the request; the delay is estimated from its other requests.
    route: str
    #: Regions that may serve it; empty means all.
    regions: frozenset[str] = frozenset()
    #: Connections that a target accepts from all hosts together; 0 means no
    #: limit.
    connection_limit: int = 0
    #: Requests per second that a cold target can serve; 0 means no limit.
    warm_up_rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenTarget:
    """The target chosen for an attempt."""

    target: KnownTarget
    #: Expected delay of the answer, in seconds.
    expected_s: float
    #: True if another host has to send it, since this host does not reach
    #: the target.
    relayed: bool = False


class ShortageCause(enum.Enum):
    """Why a target has no capacity for this host.

    ``REST`` and ``RATE_LIMIT`` are stated by the target, ``BACKOFF`` follows
    from this host's attempts and ``DECLINED`` from the reply of another host.
    ``OUTSTANDING``, ``WARM_UP`` and ``PACE`` are limits on this host's
    attempts. With ``LINE``, better requests wait for the service; with
    ``RESERVED``, the capacity is kept for other routes.
    """

    REST = 'rest'
    BACKOFF = 'backoff'
    DECLINED = 'declined'
    RATE_LIMIT = 'rate_limit'
    OUTSTANDING = 'outstanding'
    WARM_UP = 'warm_up'
    LINE = 'line'
    RESERVED = 'reserved'
    PACE = 'pace'


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """What keeps a target from getting an attempt, for the log."""

    cause: ShortageCause
    #: Time since this host learned of it, in seconds.
    age_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """No target that meets the requirements has capacity now.

    Each one is in back-off, at a limit, or was declined by another host.
    """

    #: Time after which a target may have capacity, in seconds.
    wait_s: float
    #: Why the target that may have capacity first has none now.
    shortage: Shortage = dataclasses.field(
        default=Shortage(ShortageCause.OUTSTANDING), compare=False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """Attempts that this host may have outstanding at a service."""

    #: Those that it may send now.
    free: int
    #: Those that it may have at the targets that it may use now.
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """No usable target meets the requirements and is not excluded."""


PlacementResult = ChosenTarget | NoCapacity | NoTarget
