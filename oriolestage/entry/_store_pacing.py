"""When a host calls the store while it follows it.

Load pattern: every change reaches all hosts of a fleet at the same moment, and
so does every reason to read the whole store again. Each pause is therefore
spread over the fleet, and it ends early enough for the propagation limit.
"""

import random
from collections.abc import Callable

#: Longest wait of one watch call, as a share of the propagation limit. A
#: watch may miss changes without an error while the store discards its
#: history, so it has to end early enough for another read within the limit.
WATCH_WAIT_SHARE = 0.6
#: Shortest pause after a watch returned changes, so that the next call returns
#: a burst of changes at once, in seconds. Also the interval of checks for
#: expired registrations.
COALESCING_DELAY_S = 0.3
#: Calls a second that all hosts together make while changes come without a
#: pause, or when all of them have to read the store again. The pause grows
#: with the number of hosts.
FLEET_CALLS_PER_S = 100
#: Longest pause, as a share of the propagation limit.
COALESCING_SHARE = 0.2
#: Initial and maximum back-off after a failed call, in seconds.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8


class StorePacing:
    """Decides on the pauses between calls to the store."""

    def __init__(
        self,
        propagation_limit_s: float,
        host_count: Callable[[], int],
    ) -> None:
        """Create the pacing of one host.

        ``propagation_limit_s`` is the time within which a host that reaches
        the store has to know of a change, in seconds. ``host_count`` returns
        the number of known hosts.
        """
        self._watch_wait_s = propagation_limit_s * WATCH_WAIT_SHARE
        self._longest_pause_s = propagation_limit_s * COALESCING_SHARE
        self._host_count = host_count
        self._backoff_s = INITIAL_BACKOFF_S
        #: Whether no changes were applied since the store was read again.
        self._reading_again = False

    @property
    def watch_wait_s(self) -> float:
        """Time for which a watch may wait for changes, in seconds."""
        return self._watch_wait_s

    def pause_after_changes_s(self, grace_left_s: float) -> float:
        """Return the pause after changes, in seconds.

        While targets with lapsed registrations are kept, for ``grace_left_s``
        more seconds, it ends in time for another watch before they are
        dropped.
        """
        delay_s = self._fleet_pause_s()
        if grace_left_s > 0:
            delay_s = min(delay_s, grace_left_s - COALESCING_DELAY_S)
        return max(COALESCING_DELAY_S, delay_s)

    def pause_before_reading_again_s(self, *, spread: bool) -> float:
        """Return the pause before the store is read again, in seconds.

        ``spread`` is True if all hosts may have to read it. The pause backs
        off until changes are applied: an answer about changes that cannot be
        used may be followed by another one.
        """
        pause_s = random.uniform(0, self._fleet_pause_s()) if spread else 0
        if self._reading_again:
            pause_s = max(pause_s, self.next_backoff_s())
        self._reading_again = True
        return pause_s

    def next_backoff_s(self) -> float:
        """Return the pause after a failed call; it grows with each call."""
        backoff_s = self._backoff_s * random.uniform(0.5, 1)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
        return backoff_s

    def reset_backoff(self) -> None:
        """Start with the shortest back-off again, after applied changes."""
        self._backoff_s = INITIAL_BACKOFF_S
        self._reading_again = False

    def _fleet_pause_s(self) -> float:
        pause_s = self._host_count() / FLEET_CALLS_PER_S
        return min(pause_s, self._longest_pause_s)
