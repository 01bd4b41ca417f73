"""When hosts and the store were disturbed, as the platform's rules count it."""

import dataclasses
from collections import defaultdict

#: Time without a disturbance after which a host counts as in touch, and the
#: store as stable (``contactMs``), in seconds.
CONTACT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time in seconds since the start of the record."""

    start: float
    end: float
    #: Whether it is the work of an operator, such as a stop.
    planned: bool = False


class Disruptions:
    """Spans in which hosts, targets and the store were disturbed."""

    def __init__(self) -> None:
        """Start without any."""
        self._spans: defaultdict[str, list[Span]] = defaultdict(list)

    def add(
        self, name: str, start: float, end: float, *, planned: bool = False
    ) -> None:
        """Add a span of a host or a target, by name, or of the store."""
        self._spans[name].append(Span(start, end, planned))

    def touches(
        self, name: str, start: float, end: float, *, unplanned: bool = False
    ) -> bool:
        """Return whether ``name`` was disturbed in a span.

        Planned work is left out if ``unplanned`` is set.
        """
        return any(
            span.start <= end and span.end >= start
            for span in self._spans[name]
            if not (unplanned and span.planned)
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
