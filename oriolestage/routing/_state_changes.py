"""Log events for changes of the cluster state, and how recent it is."""

import dataclasses

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """A change of the cluster state, as one event for the log."""

    #: Name of the log event.
    event: str
    #: Keys and values of the event, with the cause of the change.
    fields: tuple[tuple[str, object], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """How recent a host's copy of the store is."""

    #: Last revision of the store that the host applied; 0 before it has
    #: read the store.
    revision: int
    #: Time since the store last answered the host, in seconds.
    age_s: float
    #: Era of that revision; None if the store states none, or from a host
    #: that does not tell. Revisions of different eras cannot be compared.
    era: int | None = None

    @property
    def age_ms(self) -> int:
        """Age in whole milliseconds, the unit used between hosts."""
        return int(self.age_s * MS_PER_S)
