"""What the view of the store tells about roll-outs."""

from collections.abc import Iterable
from typing import Protocol

from oriolestage.routing._facts import (
    EvidenceStored,
    OrderRemoved,
    OrderStored,
    StatusRemoved,
    StatusStored,
    StoredFact,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._targets import TargetRecord

RolloutFact = (
    OrderStored | OrderRemoved | StatusStored | StatusRemoved | EvidenceStored
)


class RolloutObserver(Protocol):
    """Is told what the store holds about roll-outs."""

    def apply(self, fact: RolloutFact, now: float) -> list[StateChange]:
        """Apply one change of the store; return the changes to log."""

    def replace_all(
        self, facts: Iterable[StoredFact], now: float
    ) -> list[StateChange]:
        """Replace all orders and statuses by those of a full read."""

    def record_target(self, record: TargetRecord) -> list[StateChange]:
        """Record the version of a target that has registered."""

    def start_restoration(self, now: float) -> None:
        """Keep what a restored store lacks for a while."""

    def record_outage(self, outage_s: float, now: float) -> None:
        """Record for how long the store was not read until ``now``."""


class NoRollouts:
    """Ignores everything, for hosts without roll-outs."""

    def apply(self, fact: RolloutFact, now: float) -> list[StateChange]:
        """Do nothing."""
        return []

    def replace_all(
        self, facts: Iterable[StoredFact], now: float
    ) -> list[StateChange]:
        """Do nothing."""
        return []

    def record_target(self, record: TargetRecord) -> list[StateChange]:
        """Do nothing."""
        return []

    def start_restoration(self, now: float) -> None:
        """Do nothing."""

    def record_outage(self, outage_s: float, now: float) -> None:
        """Do nothing."""
