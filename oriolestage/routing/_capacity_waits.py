"""Decides how long the parts of a request wait for a free target.

Answers the load pattern in which a service has too little room: a caller that
is refused soon can still be served in time by another host, so a request that
has certainly not run is refused while the refusal is of use.
"""

from oriolestage.routing._parts import Part
from oriolestage.routing._progress import Progress


class CapacityWaits:
    """The waits of the parts of one request."""

    def __init__(self, progress: Progress) -> None:
        """Create the waits of a request without any."""
        self._progress = progress

    def wait_until(self, part: Part, now: float) -> float:
        """Return the time until which a part may wait for a free target.

        A part that may have run can no longer be refused as not run and waits
        until the deadline. The only part of a request is refused in time if
        that is still possible.
        """
        times = self._progress.times
        if part.may_have_run:
            return times.deadline
        part.no_capacity_since = min(part.no_capacity_since, now)
        until = part.no_capacity_since + times.wait_s
        if self._progress.single and part.no_capacity_since < times.refuse_by:
            return min(until, times.refuse_by)
        return until
