"""Which versions of a service's targets may get an attempt."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from oriolestage.routing._targets import KnownTarget

#: Draw of an attempt that does not go to a version on trial.
NOT_EXPOSED = float('inf')
#: Draw of an attempt that goes to a version on trial only if all others do.
LAST_EXPOSED = 0.9999999


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSplit:
    """How the attempts at one service are divided among versions."""

    #: Versions that any attempt may use.
    known: frozenset[str]
    #: Versions that no attempt may use.
    rejected: frozenset[str] = frozenset()
    #: Version on trial; empty if there is none.
    trial: str = ''
    #: Share of the first attempts that go to the version on trial.
    share: float = 0
    #: Whether the version on trial may be used if no other target is usable.
    spare: bool = False

    def exposes(self, draw: float) -> bool:
        """Return whether an attempt with this draw goes to the trial."""
        return bool(self.trial) and draw < self.share

    def on_trial(self, targets: Iterable[KnownTarget]) -> list[KnownTarget]:
        """Return the targets of the version on trial."""
        return [
            target for target in targets if target.record.version == self.trial
        ]

    def settled(self, targets: Iterable[KnownTarget]) -> list[KnownTarget]:
        """Return the targets that any attempt may use.

        Those of a version that is neither known nor named by an order are
        used only if there is no other.
        """
        known: list[KnownTarget] = []
        others: list[KnownTarget] = []
        for target in targets:
            version = target.record.version
            if version in self.known:
                known.append(target)
            elif version not in self.rejected and not self._tries(version):
                others.append(target)
        return known or others

    def _tries(self, version: str) -> bool:
        return bool(self.trial) and version == self.trial


class VersionRules(Protocol):
    """Decides which versions of services may get attempts."""

    def split(self, service: str, now: float) -> VersionSplit | None:
        """Return the versions to use; None if all may be used."""

    def draw(self) -> float:
        """Return the draw of a first attempt, a number from 0 to 1."""


class AllVersions:
    """Lets any attempt use any version."""

    def split(self, service: str, now: float) -> VersionSplit | None:
        """Return None."""

    def draw(self) -> float:
        """Return the draw of an attempt that is not exposed."""
        return NOT_EXPOSED
