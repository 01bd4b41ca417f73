"""Creates the components of a host that takes part in roll-outs."""

import dataclasses
import functools
import random
import secrets
import time
from collections.abc import Callable

from oriolestage.entry._crash_tracking import AttemptSender
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._ports import RolloutStore
from oriolestage.entry._rollout_controller import RolloutController
from oriolestage.entry._rollout_counting import RolloutCountingSender
from oriolestage.rollouts._book import RolloutBook
from oriolestage.rollouts._bounds import RolloutBounds
from oriolestage.rollouts._decisions import DeciderInputs, RolloutDecider
from oriolestage.rollouts._evidence import OwnEvidence
from oriolestage.rollouts._schedule import Schedule
from oriolestage.routing._placement import Placement
from oriolestage.routing._targets import TargetDirectory

#: Length of the random part of the name of a process, in bytes.
PROCESS_BYTES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutParts:
    """What the other components need of roll-outs."""

    host: str
    book: RolloutBook
    schedule: Schedule

    def attach(
        self,
        sender: AttemptSender,
        placement: Placement,
        metrics: EntryMetrics,
    ) -> AttemptSender:
        """Add the metrics; return a sender that counts those of ``sender``."""
        book = self.book
        metrics.add_labelled_gauge(
            'rollouts', 'Roll-outs.', 'state', lambda: book.counts
        )
        metrics.add_labelled_gauge(
            'rollout_share',
            'Share of the first attempts that go to the new version.',
            'service',
            lambda: book.shares(time.monotonic()),
        )
        return RolloutCountingSender(sender, book.own, placement)

    def controller(
        self, store: RolloutStore, placement: Placement
    ) -> RolloutController:
        """Return what writes counters and statuses to the store."""
        inputs = DeciderInputs(
            self.host,
            lambda: placement.hosts,
            functools.partial(_has_targets, placement.directory),
        )
        decider = RolloutDecider(self.book, self.schedule, inputs)
        return RolloutController(
            store, self.book, decider, lambda: len(placement.hosts)
        )


def build_rollouts(
    bounds: RolloutBounds | None,
    host: str,
    copy_age_s: Callable[[], float],
) -> RolloutParts | None:
    """Return the components for roll-outs; None without ``bounds``.

    ``copy_age_s`` returns the age of the host's copy of the store, in seconds.
    """
    if bounds is None:
        return None
    schedule = Schedule(bounds)
    process = f'{host}-{secrets.token_hex(PROCESS_BYTES)}'
    book = RolloutBook(
        schedule,
        OwnEvidence(host, process),
        copy_age_s,
        random.Random(process),
    )
    return RolloutParts(host, book, schedule)


def _has_targets(
    directory: TargetDirectory, service: str, version: str
) -> bool:
    return any(
        target.record.version == version for target in directory.usable(service)
    )
