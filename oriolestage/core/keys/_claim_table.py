"""The claims of a journal in memory, and the ages of its segments."""

from collections.abc import Sequence

from oriolestage.core.keys._claims import Claim
from oriolestage.core.keys._journal_reader import JournalContent


class ClaimTable:
    """Finds the claim of a key, and the segments that may be forgotten.

    A segment may leave the head of the journal when the newest key in it has
    expired, however fast it was filled.
    """

    def __init__(self) -> None:
        """Start without claims."""
        self._claims_by_key: dict[str, Claim] = {}
        self._newest_ms: dict[str, int] = {}

    def load(self, content: JournalContent) -> None:
        """Replace the table by the content of a journal."""
        self._claims_by_key = {}
        self._newest_ms = {}
        for name, claims in content.segments.items():
            self.add(claims)
            self.add_segment(name, claims)
        self.add(content.head.claims)

    def get(self, key: str) -> Claim | None:
        """Return the claim of a key, or None."""
        return self._claims_by_key.get(key)

    def add(self, claims: Sequence[Claim]) -> None:
        """Add claims, the newest last."""
        for claim in claims:
            self._claims_by_key[claim.key] = claim

    def add_segment(self, name: str, claims: Sequence[Claim]) -> None:
        """Record the claims that a segment holds."""
        self._newest_ms[name] = max(
            (claim.created_ms for claim in claims), default=0
        )

    def keep_segments(
        self, names: Sequence[str], oldest_kept_ms: int
    ) -> tuple[str, ...]:
        """Return the segments that hold a key made since a time."""
        kept = tuple(
            name for name in names if self._newest_ms[name] >= oldest_kept_ms
        )
        self._newest_ms = {name: self._newest_ms[name] for name in kept}
        return kept

    def evict(self, oldest_kept_ms: int) -> None:
        """Remove the oldest claims while their keys were made before a time."""
        while self._claims_by_key:
            oldest = next(iter(self._claims_by_key.values()))
            if oldest.created_ms >= oldest_kept_ms:
                return
            self._claims_by_key.pop(oldest.key)
