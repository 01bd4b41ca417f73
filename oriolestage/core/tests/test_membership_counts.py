"""Tests of what the membership view counts."""

import random
import unittest

from oriolestage.core import Identity, Member, MemberState, NodeCore, Parameters


def new_core() -> NodeCore:
    """Build a core that knows only itself."""
    identity = Identity('entry-0', 'g0', 'd0', 'ege-a', 1)
    return NodeCore(identity, Parameters(), random.Random(1), 0)


class CountTest(unittest.TestCase):
    """Majorities are judged by the members that count."""

    def test_counts_follow_states(self) -> None:
        """Counts alive members and the fleet after each change."""
        membership = new_core().membership
        self.assertEqual(
            (membership.alive_count, membership.fleet_size), (1, 1)
        )
        cases = (
            (MemberState.ALIVE, 2, 2),
            (MemberState.SUSPECT, 1, 2),
            (MemberState.DEAD, 1, 2),
            (MemberState.REMOVED, 1, 1),
        )
        for state, alive, fleet in cases:
            with self.subTest(state):
                membership.merge(
                    [Member('entry-1', 'g1', 'd1', 'ege-a', 1, state)],
                )
                self.assertEqual(membership.alive_count, alive)
                self.assertEqual(membership.fleet_size, fleet)

    def test_newer_incarnation_is_a_new_member(self) -> None:
        """Takes a replaced host for alive again, and never an older one."""
        membership = new_core().membership
        dead = Member('entry-1', 'g1', 'd1', 'ege-a', 1, MemberState.DEAD)
        membership.merge([Member('entry-1', 'g1', 'd1', 'ege-a', 1), dead])
        membership.merge([Member('entry-1', 'g1', 'd1', 'ege-a', 9)])
        self.assertEqual(membership.alive_count, 2)
        membership.merge([dead])
        self.assertEqual(membership.alive_count, 2)
