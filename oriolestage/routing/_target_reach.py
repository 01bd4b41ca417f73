"""Whether this host reaches any target at all.

A host can lose its links to all targets while callers, the store and the
other hosts still reach it. Single targets that fail are told from such a
partition by their number: several targets give no response, one after the
other, and none gives one. It does not matter how an attempt fails: its
connection may be refused, reset at any point or silent.
"""

from collections.abc import Callable

from oriolestage.routing._state_changes import StateChange

#: Targets without a response, and none with one, from which on the host counts
#: as cut off from all targets.
MIN_UNREACHED_TARGETS = 4
#: Time for which attempts are outstanding without any response before the host
#: counts as cut off, in seconds; longer than the pauses of targets, some of
#: which coincide.
MIN_SILENCE_S = 0.35


class TargetReach:
    """Tells from the outcomes of attempts whether targets are reached."""

    def __init__(self, on_change: Callable[[StateChange], None]) -> None:
        """Start as a host that reaches targets.

        ``on_change`` is called with the log event of each change.
        """
        self._on_change = on_change
        self._responded_at = float('-inf')
        #: Processes without a response since any target responded.
        self._unreached: set[str] = set()
        #: When the first attempt without a response was sent to these.
        self._silent_since = float('inf')
        self._cut_off_at: float | None = None

    @property
    def cut_off(self) -> bool:
        """Whether no target is reached."""
        return self._cut_off_at is not None

    def record_response(self, now: float) -> None:
        """Record that a target gave a complete response.

        A connection that is accepted is none: a proxy on the way may accept
        it and pass nothing on.
        """
        self._responded_at = now
        if self._unreached:
            self._unreached.clear()
            self._silent_since = float('inf')
        if self._cut_off_at is None:
            return
        after_s = now - self._cut_off_at
        self._cut_off_at = None
        self._report('targets_reached_again', after_s=after_s)

    def record_unreached(
        self, process: str, sent_at: float, now: float
    ) -> None:
        """Record that a target gave no response to an attempt.

        ``process`` names the target process. An attempt that was sent before
        the last response of any target says nothing.
        """
        if sent_at <= self._responded_at:
            return
        self._unreached.add(process)
        self._silent_since = min(self._silent_since, sent_at)
        silent_s = now - self._silent_since
        if (
            self.cut_off
            or len(self._unreached) < MIN_UNREACHED_TARGETS
            or silent_s < MIN_SILENCE_S
        ):
            return
        self._cut_off_at = now
        self._report(
            'targets_unreached',
            targets=len(self._unreached),
            silent_s=silent_s,
        )

    def _report(self, event: str, **fields: object) -> None:
        self._on_change(StateChange(event, tuple(fields.items())))
