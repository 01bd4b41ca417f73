"""Bounds the memory that incomplete responses of targets take."""

from oriolestage.admission._memory_budget import Cause
from oriolestage.entry._held_memory import HeldMemory

#: Largest sum of the bodies received so far, over all responses in progress,
#: in bytes, if the memory of the machine is not known: a third of that of a
#: small host.
MAX_HELD_BYTES = 50_000_000
#: Times that a response is held: in pieces, joined, and twice on its way to the
#: caller, where it is not counted until it waits to be sent.
COPIES = 4
#: A response that is no longer than this is accepted beyond that sum, in
#: bytes, so that a few long ones cannot make all others fail.
ALWAYS_ACCEPTED_BYTES = 65_536


class HeldBytes:
    """Sum of the bodies received so far of all responses in progress."""

    def __init__(self, memory: HeldMemory | None = None) -> None:
        """Start at zero.

        The sum is part of the budget of ``memory``, or has a bound of its own.
        """
        self._total = 0
        self._memory = memory
        self._share = None if memory is None else memory.open(None)

    @property
    def total(self) -> int:
        """The sum in bytes."""
        return self._total

    def add(self, received: int) -> None:
        """Add received bytes."""
        self._change(received)

    def release(self, held: int) -> None:
        """Subtract the bytes of a response that has ended."""
        self._change(-held)

    def accepts(self, held: int) -> bool:
        """Return whether a response that holds so many bytes may go on."""
        if held <= ALWAYS_ACCEPTED_BYTES:
            return True
        if self._memory is None:
            return self._total <= MAX_HELD_BYTES
        if self._memory.relieve():
            return True
        self._memory.record_refusal('target_answer')
        return False

    def _change(self, added: int) -> None:
        self._total += added
        if self._share is not None:
            self._share.set(Cause.TARGET_ANSWER, self._total * COPIES)
