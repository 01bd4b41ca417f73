"""Tests of the shares of connections in the memory budget of a process."""

from unittest import TestCase

from oriolestage.admission._memory_budget import Cause, Claim, MemoryBudget
from oriolestage.entry._held_memory import HeldMemory, MemoryShare

LIMIT_BYTES = 1000
SHARE_BYTES = 600


class _NestedHolder:
    """A connection whose refusal is not taken, which asks for room again."""

    def __init__(self, memory: HeldMemory) -> None:
        self._memory = memory
        self.closed_count = 0

    def refresh_share(self) -> Claim:
        return Claim.CLIENT

    def close_for_memory(self) -> None:
        self.closed_count += 1
        self._memory.relieve()


class NestedChoiceTest(TestCase):
    """A refusal may ask for room while connections are being closed."""

    def setUp(self) -> None:
        """Create connections that hold more than the budget."""
        self._budget = MemoryBudget(LIMIT_BYTES)
        self._memory = HeldMemory(self._budget, clock=lambda: 1.0)
        self._holders: list[_NestedHolder] = []
        self._shares: list[MemoryShare] = []
        for _ in range(4):
            holder = _NestedHolder(self._memory)
            share = self._memory.open(holder)
            share.set(Cause.REQUEST, SHARE_BYTES)
            self._holders.append(holder)
            self._shares.append(share)

    def test_counted_once(self) -> None:
        """Guards against a connection that is chosen twice.

        Its bytes then stayed noted as about to be released for ever, and the
        budget allowed that much more.
        """
        self._memory.relieve()
        closed = [holder.closed_count for holder in self._holders]
        self.assertLessEqual(max(closed), 1)
        for share in self._shares:
            share.close()
        self.assertEqual(self._budget.total_bytes, 0)
        later = self._memory.open(None)
        later.set(Cause.TARGET_ANSWER, LIMIT_BYTES + 1)
        self.assertTrue(self._budget.exceeded)
