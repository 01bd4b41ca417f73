"""Tests of targets whose registration is lost or unreadable for a moment."""

import unittest
from collections.abc import Callable

from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import (
    StoredFact,
    TargetRemoved,
    TargetStored,
    UnreadableItem,
)
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._placement_types import (
    ChosenTarget,
    TargetRequirements,
)
from oriolestage.routing._targets import REMOVED_RETENTION_S
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
    make_record,
)

#: Rate of requests to a cold target in requests per second, of all hosts.
WARM_UP_RATE = 4
REQUIREMENTS = TargetRequirements('shard-0', 'route', warm_up_rate=WARM_UP_RATE)
LIMIT = 0.1
REST_S = 30.0
#: Time for which the target is cold, in seconds.
COLD_S = 30.0
#: Time between the statement of a target and the loss of its entry, and
#: between that and its return, in seconds.
STEP_S = 0.1
#: What takes the entry of the target away.
LOSSES: tuple[StoredFact, ...] = (
    TargetRemoved('t-1'),
    UnreadableItem('servers/t-1', 'nested too deep', 't-1'),
)
Statement = Callable[[Placement, float], None]


def _say_leaving(placement: Placement, _: float) -> None:
    placement.record_leaving('t-1')


def _ask_for_rest(placement: Placement, now: float) -> None:
    placement.record_rest('t-1', REST_S, now)


def _state_limit(placement: Placement, now: float) -> None:
    placement.record_rate_limit('t-1', LIMIT, now)


def _use_up_warm_up(placement: Placement, now: float) -> None:
    attempt = 0
    while _is_used(placement, now):
        target = placement.directory.find('t-1')
        assert target is not None
        attempt += 1
        placement.record_sent(target, attempt, now)
        placement.observations.record_answer(target, attempt, now)


def _is_used(placement: Placement, now: float) -> bool:
    choice = placement.choose(REQUIREMENTS, (), now)
    return isinstance(choice, ChosenTarget)


STATEMENTS: dict[str, Statement] = {  # noqa: WPS407
    'leaves': _say_leaving,
    'rests': _ask_for_rest,
    'states a limit': _state_limit,
    'is cold': _use_up_warm_up,
}


class RegisteredAgainTest(unittest.TestCase):
    """Guards against limits of a process that end with its registration.

    Another writer overwrites the entry of a target, or its lease lapses. The
    process lives on and registers again.
    """

    def setUp(self) -> None:
        """Start a host without targets."""
        self._start()

    def test_same_process(self) -> None:
        """What a process has said holds when it is registered again."""
        for name, state in STATEMENTS.items():
            for loss in LOSSES:
                with self.subTest(name=name, loss=type(loss).__name__):
                    self._start()
                    state(self._placement, 0)
                    self.assertFalse(_is_used(self._placement, 0))
                    self._state.apply(loss, STEP_S)
                    self._register(2 * STEP_S)
                    self.assertFalse(_is_used(self._placement, 2 * STEP_S))

    def test_full_read(self) -> None:
        """It also holds if the entry was missing in a full read."""
        for name, state in STATEMENTS.items():
            with self.subTest(name=name):
                self._start()
                state(self._placement, 0)
                self._state.replace_all((), STEP_S)
                self._register(2 * STEP_S)
                self.assertFalse(_is_used(self._placement, 2 * STEP_S))

    def test_said_without_entry(self) -> None:
        """Guards against answers that are lost on a host without the entry.

        A request that was sent before is answered after the loss.
        """
        for name in ('leaves', 'rests', 'states a limit'):
            for loss in LOSSES:
                with self.subTest(name=name, loss=type(loss).__name__):
                    self._start()
                    self._state.apply(loss, 0)
                    STATEMENTS[name](self._placement, STEP_S)
                    self._register(2 * STEP_S)
                    self.assertFalse(_is_used(self._placement, 2 * STEP_S))

    def test_new_process(self) -> None:
        """A new process of the target starts without what the old one said."""
        for name, state in STATEMENTS.items():
            with self.subTest(name=name):
                self._start()
                state(self._placement, 0)
                self._state.apply(LOSSES[0], STEP_S)
                self._register(2 * STEP_S, started_ms=2)
                self.assertTrue(_is_used(self._placement, 2 * STEP_S))

    def test_forgotten_in_time(self) -> None:
        """Processes that do not return are not remembered for good."""
        _say_leaving(self._placement, 0)
        self._state.apply(LOSSES[0], 0)
        directory = self._placement.directory
        self.assertEqual(len(directory.removed_processes), 1)
        directory.expire(REMOVED_RETENTION_S)
        self.assertEqual(len(directory.removed_processes), 0)

    def _start(self) -> None:
        self._placement, directory = make_placement()
        self._placement.replace_hosts({}, 0)
        self._state = ClusterState(
            directory,
            self._placement,
            PeerDirectory(self._placement.location),
            make_crash_detector(),
        )
        self._register(0)

    def _register(self, now: float, started_ms: int = 1) -> None:
        record = make_record(
            't-1', warm_up_left_s=COLD_S, started_ms=started_ms
        )
        self._state.apply(TargetStored(record), now)
