"""Eras of the store, by which a return to an older copy is noticed.

When the store is restored from a copy, its revisions go back and are given out
again, and its era rises. Revisions and leases of different eras have nothing
to do with one another.
"""

from collections.abc import Callable

from oriolestage._logging import log_event


class StoreEras:
    """Tracks the era that the answers of the store state."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self._era: int | None = None
        self._answered = False
        self._rises = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def era(self) -> int | None:
        """Latest era; None if the store has stated none."""
        return self._era

    @property
    def rises(self) -> int:
        """Number of times that the era has risen."""
        return self._rises

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each rise of the era."""
        self._listeners.append(listener)

    def record(self, era: int, step: str, peer: str) -> bool:
        """Record the era that an answer states; return whether it is valid.

        An era that is first stated by a later answer counts as a rise. An
        answer of an older era than the latest one is not valid.
        """
        previous = self._era
        first = not self._answered
        self._answered = True
        if era == previous:
            return True
        inputs = {
            'step': step,
            'peer': peer,
            'era': era,
            'previous': 'none' if previous is None else previous,
        }
        if previous is not None and era < previous:
            log_event('store_era_older', inputs)
            return False
        self._era = era
        if first:
            log_event('store_era', inputs)
            return True
        self._rises += 1
        log_event('store_era_rose', inputs)
        for listener in self._listeners:
            listener()
        return True

    def record_unstated(self) -> bool:
        """Record an answer without an era; return whether it is valid.

        It is not valid from a store that has stated an era before.
        """
        self._answered = True
        return self._era is None
