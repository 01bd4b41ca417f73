"""Tests of plans and of leaving faults out of them."""

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import get_args
from unittest import TestCase

import msgspec

from platform_soak.drawing import CALM_END_S, CALM_START_S, make_plan
from platform_soak.plan import (
    CrashTarget,
    Fault,
    Plan,
    PlanError,
    read_plan,
    write_plan,
)
from platform_soak.runner import check_targets, target_count
from platform_soak.shrinking import shrink

LENGTH_S = 60.0
SEEDS = range(60)
PLANS_FOLDER = Path(__file__).parents[1] / 'plans'
MALFORMED = (
    b'',
    b'{"seed": 1',
    b'[]',
    b'{"seed": 1, "faults": []}',
    b'{"seed": 1, "length_s": 0, "faults": []}',
    b'{"seed": 1, "length_s": "long", "faults": []}',
    b'{"seed": 1, "length_s": 9, "faults": [{"type": "Unknown", "at_s": 1}]}',
    b'{"seed": 1, "length_s": 9, "faults": [{"type": "ReloadHost"}]}',
    b'{"seed": 1, "length_s": 9, "faults": '
    b'[{"type": "ReloadHost", "at_s": 1, "host": 6}]}',
    b'{"seed": 1, "length_s": 9, "faults": '
    b'[{"type": "ReloadHost", "at_s": -1, "host": 1}]}',
    b'{"seed": 1, "length_s": 9, "faults": [{"type": "BreakAnswers", '
    b'"at_s": 1, "target": 1, "way": "other", "for_s": 1}]}',
    b'{"seed": 1, "length_s": 9, "faults": [{"type": "CloseDataCentre", '
    b'"at_s": 1, "zone": "other", "for_s": 1}]}',
    b'{"seed": 1, "length_s": 9, "faults": [], "production": "--exec"}',
    b'{"seed": 1, "length_s": 9, "faults": [{"type": "OddEntry", '
    b'"at_s": 1, "entry": "large", "for_s": 1, "count": 0}]}',
    b'\xff\xfe',
)


def _breaks_with(needed: set[Fault]) -> Callable[[Plan], set[str]]:
    """Return a function that breaks a rule by some faults together."""
    return lambda candidate: (
        {'LOST'} if needed <= set(candidate.faults) else set()
    )


class TestPlan(TestCase):
    def test_same_seed_same_plan(self):
        # A breach could not be traced if its plan could not be drawn again.
        for seed in SEEDS:
            plans = [make_plan(seed, LENGTH_S, target_count()) for _ in '12']
            self.assertEqual(*plans)

    def test_seeds_differ(self):
        # Runs of many seeds would play one plan over and over.
        plans = {
            repr(make_plan(seed, LENGTH_S, target_count()).faults)
            for seed in SEEDS
        }
        self.assertEqual(len(plans), len(SEEDS))

    def test_faults_leave_the_calm_alone(self):
        # Hosts that are disturbed at the end cannot be seen to recover.
        for seed in SEEDS:
            drawn = make_plan(seed, LENGTH_S, target_count())
            times = [fault.at_s for fault in drawn.faults]
            self.assertEqual(times, sorted(times))
            self.assertGreaterEqual(min(times), CALM_START_S)
            self.assertLessEqual(max(times), LENGTH_S - CALM_END_S)
            check_targets(drawn)

    def test_each_kind_is_drawn(self):
        # A kind that is never drawn tests nothing.
        kinds = {
            type(fault)
            for seed in SEEDS
            for fault in make_plan(seed, LENGTH_S, target_count()).faults
        }
        self.assertEqual(kinds, set(get_args(Fault)))

    def test_plan_survives_its_file(self):
        # A plan that changes in its file does not play what broke a rule.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'plan.json'
            for seed in SEEDS:
                drawn = make_plan(seed, LENGTH_S, target_count())
                write_plan(drawn, path)
                self.assertEqual(read_plan(path), drawn)

    def test_regression_plans_can_be_read(self):
        # A regression plan that cannot be read guards against nothing.
        paths = sorted(PLANS_FOLDER.glob('*.json'))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.name):
                check_targets(read_plan(path))

    def test_malformed_file_is_named(self):
        # A traceback does not say what to mend in which file.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'plan.json'
            for content in MALFORMED:
                path.write_bytes(content)
                with self.subTest(content), self.assertRaises(PlanError) as got:
                    read_plan(path)
                self.assertIn(str(path), str(got.exception))

    def test_unknown_target_is_an_error(self):
        # The run would end halfway with an exception.
        crash = CrashTarget(at_s=1, target=target_count(), down_s=1)
        with self.assertRaises(PlanError):
            check_targets(Plan(1, LENGTH_S, (crash,)))


class TestShrink(TestCase):
    def test_only_needed_faults_are_left(self):
        # A plan with faults that do not matter is hard to trace.
        whole = make_plan(1, LENGTH_S, target_count())
        count = len(whole.faults)
        for needed in ((0,), (count - 1,), (3, count - 2), (1, 2, 3)):
            faults = {whole.faults[number] for number in needed}
            reduced = shrink(whole, _breaks_with(faults), runs=200)
            with self.subTest(needed):
                self.assertEqual(set(reduced.faults), faults)

    def test_another_rule_does_not_count(self):
        # The reduced plan would show another fault than the one looked for.
        whole = make_plan(1, LENGTH_S, target_count())
        reduced = shrink(
            whole,
            lambda candidate: {'LOST'} if candidate == whole else {'MIXED'},
            runs=200,
        )
        self.assertEqual(reduced, whole)

    def test_one_of_the_rules_suffices(self):
        # Plans often break several rules, not all by the same faults.
        whole = make_plan(1, LENGTH_S, target_count())
        reduced = shrink(
            whole,
            lambda candidate: (
                {'LOST', 'MIXED'} if candidate == whole else {'MIXED'}
            ),
            runs=200,
        )
        self.assertEqual(reduced.faults, ())

    def test_plan_that_breaks_nothing_is_returned(self):
        # Without a breach there is nothing to look for.
        whole = make_plan(1, LENGTH_S, target_count())
        played: list[Plan] = []

        def breaks(candidate: Plan) -> set[str]:
            played.append(candidate)
            return set()

        self.assertEqual(shrink(whole, breaks, runs=200), whole)
        self.assertEqual(played, [whole])

    def test_runs_are_bounded(self):
        # Each run takes a minute.
        whole = make_plan(1, LENGTH_S, target_count())
        for runs in (1, 2, 7):
            played: list[Plan] = []

            def breaks(
                candidate: Plan, played: list[Plan] = played
            ) -> set[str]:
                played.append(candidate)
                return {'LOST'} if candidate == whole else set()

            shrink(whole, breaks, runs)
            self.assertEqual(len(played), runs)

    def test_seed_and_length_are_kept(self):
        # The callers of a reduced plan have to draw as before.
        whole = make_plan(1, LENGTH_S, target_count())
        reduced = shrink(whole, lambda _: {'LOST'}, runs=200)
        self.assertEqual(
            reduced, msgspec.structs.replace(whole, faults=reduced.faults)
        )
