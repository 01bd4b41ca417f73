"""Bounds the memory that incomplete responses of targets take."""

#: Largest sum of the bodies received so far, over all responses in progress,
#: in bytes: a third of the memory of a small host.
MAX_HELD_BYTES = 50_000_000
#: A response that is no longer than this is accepted beyond that sum, in
#: bytes, so that a few long ones cannot make all others fail.
ALWAYS_ACCEPTED_BYTES = 65_536


class HeldBytes:
    """Sum of the bodies received so far of all responses in progress."""

    def __init__(self) -> None:
        """Start at zero."""
        self._total = 0

    @property
    def total(self) -> int:
        """The sum in bytes."""
        return self._total

    def add(self, received: int) -> None:
        """Add received bytes."""
        self._total += received

    def release(self, held: int) -> None:
        """Subtract the bytes of a response that has ended."""
        self._total -= held

    def accepts(self, held: int) -> bool:
        """Return whether a response that holds so many bytes may go on."""
        return self._total <= MAX_HELD_BYTES or held <= ALWAYS_ACCEPTED_BYTES
