"""Changes of what a host believes, for its log."""

import dataclasses

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """A change of what the host believes, with what decided it."""

    event: str
    fields: tuple[tuple[str, object], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """How new a host's knowledge of the store is."""

    #: Last revision of the store that the host took in.
    revision: int
    #: Time since the store last answered the host, in seconds.
    age_s: float

    @property
    def age_ms(self) -> int:
        """The age in whole milliseconds, as hosts tell it to each other."""
        return int(self.age_s * MS_PER_S)
