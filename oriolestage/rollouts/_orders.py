"""Orders, statuses and evidence of roll-outs."""

import dataclasses
import enum
from collections.abc import Mapping

from oriolestage.rollouts._counts import RouteCounts


class RolloutState(enum.Enum):
    """State of a roll-out, as operators read it."""

    ACTIVE = 'active'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


class RolloutPhase(enum.Enum):
    """What an active roll-out does."""

    #: A small share of the first attempts go to the new version.
    CANARY = 'canary'
    #: All first attempts, or as many as the exposure budget allows.
    RAMP = 'ramp'
    #: It is completed or rolled back.
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version."""

    service: str
    target_version: str
    #: Time from the order to its deadline, in seconds.
    duration_s: float
    #: Revision of the store's item, which tells orders of one content apart.
    revision: int

    def same_content(self, other: 'RolloutOrder') -> bool:
        """Return whether another order asks for the same."""
        return (self.target_version, self.duration_s) == (
            other.target_version,
            other.duration_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """What the hosts have decided about an order."""

    service: str
    target_version: str
    state: RolloutState
    #: Revision of the order that it is about.
    order: int
    phase: RolloutPhase
    #: Share of the first attempts that go to the new version.
    share: float = 0
    #: Time between the order and the start of the phase, in seconds.
    phase_since_s: float = 0
    #: Time between the order and the end of a ramp at the full share, in
    #: seconds; infinite if it lasts until the end.
    full_until_s: float = float('inf')
    #: Time between the order and the latest write, in seconds.
    elapsed_s: float = 0
    #: Why the state was entered.
    reason: str = ''
    #: Requests for the service since the order, as far as reported.
    requests: int = 0
    #: Requests that the new version got.
    exposed: int = 0
    #: Bad responses of the new version.
    bad: int = 0
    #: Versions that any request may use.
    known_versions: tuple[str, ...] = ()
    #: Versions that were rolled back.
    rejected_versions: tuple[str, ...] = ()
    #: Revision of the store's item; 0 if it does not exist.
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HostEvidence:
    """Counters of one process of a host for one order."""

    service: str
    host: str
    #: Name that is unique to the process.
    process: str
    #: Revision of the order.
    order: int
    #: Time between the order and the latest count, in seconds.
    elapsed_s: float
    #: Attempts for the service since the order.
    requests: int
    #: Those of them that the new version got.
    exposed: int
    #: Responses of other versions since the order by route.
    old: Mapping[str, RouteCounts]
    #: Responses of the new version by route.
    new: Mapping[str, RouteCounts]
    #: Those of them that came during the ramp.
    ramp: Mapping[str, RouteCounts]
    #: Responses from before the order by route, which show what is typical.
    base: Mapping[str, RouteCounts]

    @property
    def new_volume(self) -> tuple[int, int]:
        """Requests and ended attempts of the new version."""
        return self.exposed, _ended(self.new)

    def newer_than(self, other: 'HostEvidence') -> bool:
        """Return whether these counters are above those of ``other``."""
        return self._volume > other._volume

    @property
    def _volume(self) -> tuple[int, int, int]:
        ended = _ended(self.new) + _ended(self.old)
        return self.requests, self.exposed, ended


def _ended(by_route: Mapping[str, RouteCounts]) -> int:
    return sum(
        counts.responses + counts.abandoned.total()
        for counts in by_route.values()
    )
