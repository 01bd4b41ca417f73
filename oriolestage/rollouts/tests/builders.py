"""Builders of orders, statuses and counters."""

import dataclasses
import random

from oriolestage.rollouts._book import RolloutBook
from oriolestage.rollouts._bounds import RolloutBounds
from oriolestage.rollouts._counts import RouteCounts, bucket_of
from oriolestage.rollouts._decisions import DeciderInputs, RolloutDecider
from oriolestage.rollouts._evidence import OwnEvidence
from oriolestage.rollouts._orders import (
    HostEvidence,
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    RolloutStatus,
)
from oriolestage.rollouts._schedule import Schedule
from oriolestage.routing._facts import StoredFact, TargetStored
from oriolestage.routing.tests.builders import make_record

SERVICE = 'search'
OLD = 'v1'
NEW = 'v2'
ROUTE = 'route'
ORDER_REVISION = 10
DURATION_S = 12.0
HOSTS = tuple(f'host-{number}' for number in range(4))
#: Typical processing time, in seconds.
WORK_S = 0.012


def make_order(
    revision: int = ORDER_REVISION, version: str = NEW
) -> RolloutOrder:
    """Return an order."""
    return RolloutOrder(SERVICE, version, DURATION_S, revision)


def make_status(**changes: object) -> RolloutStatus:
    """Return the status of the order in its canary phase."""
    status = RolloutStatus(
        service=SERVICE,
        target_version=NEW,
        state=RolloutState.ACTIVE,
        order=ORDER_REVISION,
        phase=RolloutPhase.CANARY,
        share=0.1,
        known_versions=(OLD,),
        revision=20,
    )
    return dataclasses.replace(status, **changes)  # type: ignore[arg-type]


def make_counts(
    good: int = 0, failed: int = 0, slow: int = 0
) -> dict[str, RouteCounts]:
    """Return the responses of one route."""
    counts = RouteCounts(responses=good + failed + slow, failures=failed)
    counts.work[bucket_of(WORK_S)] += good
    counts.work[bucket_of(4 * WORK_S)] += slow
    return {ROUTE: counts}


def make_evidence(process: str = 'other', **changes: object) -> HostEvidence:
    """Return the counters of another host for the order."""
    evidence = HostEvidence(
        service=SERVICE,
        host=process,
        process=process,
        order=ORDER_REVISION,
        elapsed_s=1,
        requests=100,
        exposed=10,
        old=make_counts(good=90),
        new=make_counts(good=10),
        ramp={},
        base={},
    )
    return dataclasses.replace(evidence, **changes)  # type: ignore[arg-type]


def targets_of(*versions: str) -> list[StoredFact]:
    """Return the registration of one target of each version."""
    return [
        TargetStored(make_record(f't-{version}', SERVICE, version=version))
        for version in versions
    ]


class Host:
    """A host that knows one order, and the age of its copy of the store."""

    def __init__(
        self, name: str = HOSTS[0], hosts: tuple[str, ...] = HOSTS
    ) -> None:
        """Create a host that has read nothing."""
        self.age_s: float = 0
        self.has_targets = True
        schedule = Schedule(RolloutBounds())
        self.book = RolloutBook(
            schedule,
            OwnEvidence(name, name),
            lambda: self.age_s,
            random.Random(name),
        )
        self.decider = RolloutDecider(
            self.book,
            schedule,
            DeciderInputs(name, lambda: hosts, self._has_targets),
        )

    def share(self, now: float) -> float:
        """Return the share of first attempts at the new version."""
        split = self.book.split(SERVICE, now)
        return 0 if split is None else split.share

    def known(self, now: float) -> set[str]:
        """Return the versions that any attempt may use."""
        split = self.book.split(SERVICE, now)
        assert split is not None
        return set(split.known)

    def _has_targets(self, service: str, version: str) -> bool:
        return self.has_targets
