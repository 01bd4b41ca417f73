"""When hosts and the store were disturbed, as the platform's rules count it."""

import dataclasses
import enum
from collections import defaultdict
from collections.abc import Set

#: Time without a disturbance after which a host counts as in touch, and the
#: store as stable (``contactMs``), in seconds.
CONTACT_S = 5.0


class Cause(enum.Enum):
    """What disturbed something."""

    #: The first start of a host, before the traffic.
    START = enum.auto()
    STOP = enum.auto()
    KILL = enum.auto()
    FREEZE = enum.auto()
    OTHER = enum.auto()


ALL_CAUSES = frozenset(Cause)
#: Causes that are not the planned work of an operator.
UNPLANNED = ALL_CAUSES - {Cause.START, Cause.STOP}
#: Causes after which a process knows nothing of before.
RESTARTS = frozenset((Cause.STOP, Cause.KILL))
#: Causes after which a host is not blamed for what targets told it before.
INTERRUPTIONS = RESTARTS | {Cause.FREEZE}


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time in seconds since the start of the record."""

    start: float
    end: float
    cause: Cause


class Disruptions:
    """Spans in which hosts, targets and the store were disturbed."""

    def __init__(self) -> None:
        """Start without any."""
        self._spans: defaultdict[str, list[Span]] = defaultdict(list)

    def add(
        self,
        name: str,
        start: float,
        end: float,
        cause: Cause = Cause.OTHER,
    ) -> None:
        """Add a span of a host or a target, by name, or of the store."""
        self._spans[name].append(Span(start, end, cause))

    def touches(
        self,
        name: str,
        start: float,
        end: float,
        causes: Set[Cause] = ALL_CAUSES,
    ) -> bool:
        """Return whether ``name`` was disturbed in a span, by some causes."""
        return any(
            span.start <= end and span.end >= start and span.cause in causes
            for span in self._spans[name]
        )

    def in_touch(self, host: str, since: float, until: float) -> bool:
        """Return whether a host and the store were calm for long enough.

        That is from `CONTACT_S` before ``since``, to ``until``.
        """
        start = since - CONTACT_S
        return not (
            self.touches(host, start, until)
            or self.touches(STORE, start, until)
        )


#: Name of the store among the disturbed.
STORE = 'store'
