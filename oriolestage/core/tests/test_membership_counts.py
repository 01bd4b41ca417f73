"""Tests of the counts of members that majorities are based on."""

import random
import unittest

from oriolestage.core import Identity, Member, MemberState, NodeCore, Parameters


def new_core() -> NodeCore:
    """Build a core whose only member is itself."""
    identity = Identity('entry-0', 'g0', 'd0', 'ege-a', 1)
    return NodeCore(identity, Parameters(), random.Random(1), 0)


class CountTest(unittest.TestCase):
    """Checks which members count as alive and which for a majority."""

    def test_counts_follow_states(self) -> None:
        """Update both counts after each change of state."""
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
        """Count a restarted host as alive and ignore its old incarnation."""
        membership = new_core().membership
        dead = Member('entry-1', 'g1', 'd1', 'ege-a', 1, MemberState.DEAD)
        membership.merge([Member('entry-1', 'g1', 'd1', 'ege-a', 1), dead])
        membership.merge([Member('entry-1', 'g1', 'd1', 'ege-a', 9)])
        self.assertEqual(membership.alive_count, 2)
        membership.merge([dead])
        self.assertEqual(membership.alive_count, 2)
