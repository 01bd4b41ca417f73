"""Tests of targets that crash and start again under their identity."""

import time
import unittest
from collections.abc import Callable

from oriolestage.entry._crash_tracking import CrashTrackingSender
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.target_calls import make_call
from oriolestage.routing._answers import AttemptLost, AttemptOutcome
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import TargetRemoved, TargetStored
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_peers,
    make_placement,
    make_record,
)

FINGERPRINT = 1
IDENTITY = 't-1'
#: Times that the only target of the service crashes.
CRASHES = 3


class _CrashingTarget:
    """Breaks the connection of each attempt."""

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Return the outcome of a broken connection."""
        return AttemptLost('target.ClientOSError', broken=True)


def _remove_and_register(
    state: ClusterState, record: TargetRecord, now: float
) -> None:
    """The entry lapses before the target is back."""
    state.apply(TargetRemoved(record.identity), now)
    state.apply(TargetStored(record), now)


def _register(state: ClusterState, record: TargetRecord, now: float) -> None:
    """The target is back before its entry lapses."""
    state.apply(TargetStored(record), now)


def _list(state: ClusterState, record: TargetRecord, now: float) -> None:
    """The host reads the whole store instead of the change."""
    state.replace_all((TargetStored(record),), now)


RESTARTS: tuple[Callable[[ClusterState, TargetRecord, float], None], ...] = (
    _remove_and_register,
    _register,
    _list,
)


class CrashedProcessTest(unittest.IsolatedAsyncioTestCase):
    """A request may crash the same target again each time that it is back."""

    async def _crash_again_and_again(
        self, restart: Callable[[ClusterState, TargetRecord, float], None]
    ) -> float:
        """Return for how long the request is refused, in seconds."""
        placement, directory = make_placement()
        detector = make_crash_detector()
        state = ClusterState(
            directory, placement, make_peers(placement.location), detector
        )
        sender = CrashTrackingSender(_CrashingTarget(), detector)
        state.apply(TargetStored(make_record(IDENTITY, started_ms=1)), 0)
        for crash in range(CRASHES):
            target = directory.find(IDENTITY)
            assert target is not None
            await sender.send(make_call(IDENTITY, FINGERPRINT, target.process))
            record = make_record(IDENTITY, started_ms=2 + crash)
            restart(state, record, time.monotonic())
        return detector.quarantine_left_s(FINGERPRINT, time.monotonic())

    async def test_refused(self) -> None:
        """Guards against crashes that count once for each identity.

        The only target of a service, which kept its identity, was crashed
        each time that it was back.
        """
        for restart in RESTARTS:
            with self.subTest(restart=restart.__doc__):
                self.assertGreater(
                    await self._crash_again_and_again(restart), 0
                )
