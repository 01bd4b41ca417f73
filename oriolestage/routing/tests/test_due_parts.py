"""Tests of the order in which the parts of a request need a decision."""

import random
import unittest

from oriolestage.routing._due_parts import DueParts
from oriolestage.routing._parts import Attempt, Part, PartTally
from oriolestage.routing._placement_types import TargetRequirements
from oriolestage.routing._run_types import PartRequest
from oriolestage.routing._stragglers import StragglerDetector
from oriolestage.routing.tests.builders import make_answer, make_budget

PARTS = 12
STEPS = 400
SEEDS = 20
#: One of so many answers ends a part; the others only change the work.
ANSWER_EVERY = 10
#: Usual work of the requests, in seconds.
USUAL_S = 0.01


class _Simulation:
    """Changes parts at random and keeps their order up to date."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self.stragglers = StragglerDetector(PARTS, USUAL_S)
        self.due = DueParts(self.stragglers, repeatable=True)
        requirements = TargetRequirements('shard', 'route')
        part_request = PartRequest(requirements, make_budget())
        tally = PartTally(PARTS)
        self.parts = [
            Part(position, part_request, tally) for position in range(PARTS)
        ]
        self.now: float = 0
        self._attempts = 0

    def step(self) -> None:
        """Change one part and decide on those that are due."""
        self.now += self._rng.random() * USUAL_S
        change = self._rng.choice(
            (
                self._send,
                self._lose,
                self._answer,
                self._mark_late,
                self._wait,
            )
        )
        change(self._rng.choice(self.parts))
        for part in self.due.pop_due(self.now):
            self._decide(part)

    def due_by_scan(self) -> float:
        """Return the time of the next decision from all parts."""
        return min(self._due_at(part) for part in self.parts)

    def _due_at(self, part: Part) -> float:
        if part.answer is not None:
            return float('inf')
        attempt = part.only_attempt
        if attempt is None or attempt.hedge_considered:
            return part.next_placement_at
        late_at = attempt.sent_at
        if not attempt.late:
            late_at = attempt.idle_answer_at + self.stragglers.late_s
        return min(part.next_placement_at, late_at)

    def _decide(self, part: Part) -> None:
        if part.next_placement_at <= self.now:
            part.next_placement_at = float('inf')
        attempt = part.only_attempt
        if attempt is not None and self._due_at(part) <= self.now:
            attempt.hedge_considered = True

    def _send(self, part: Part) -> None:
        self._attempts += 1
        round_trip_s = self._rng.random() * USUAL_S
        part.add_attempt(self._attempts, Attempt(self.now, round_trip_s, None))
        self.due.add(part)

    def _lose(self, part: Part) -> None:
        for number in tuple(part.in_flight)[:1]:
            part.remove_attempt(number)
        self.due.add(part)

    def _answer(self, part: Part) -> None:
        if not self._rng.randrange(ANSWER_EVERY):
            part.record_answer(make_answer())
        self.stragglers.record_work(self._rng.random() * USUAL_S, 1)

    def _mark_late(self, part: Part) -> None:
        for attempt in part.in_flight.values():
            attempt.late = True
        self.due.add(part)

    def _send_later(self, part: Part) -> None:
        for attempt in part.in_flight.values():
            if not attempt.late:
                attempt.sent_at = self.now

    def _wait(self, part: Part) -> None:
        part.next_placement_at = self.now + self._rng.random() * USUAL_S
        self.due.add(part)


class DuePartsTest(unittest.TestCase):
    """The heaps agree with a scan over all parts."""

    def test_random_changes(self) -> None:
        """After each change, the next decision is due when a scan says so."""
        for seed in range(SEEDS):
            simulation = _Simulation(seed)
            for _ in range(STEPS):
                simulation.step()
                with self.subTest(seed=seed, now=simulation.now):
                    self.assertEqual(
                        simulation.due.next_due_at(),
                        simulation.due_by_scan(),
                    )
