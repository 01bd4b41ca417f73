"""The targets that this host paces, from their start to the end of the pace.

Answers the load pattern in which a target that has just started or recovered
gets the waiting requests of all hosts at once, or is left idle for long.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from oriolestage._rendezvous import rendezvous_position
from oriolestage.pacing._base_work import BaseWork
from oriolestage.pacing._target_pace import (
    LIMIT_S,
    PaceCause,
    Step,
    TargetPace,
    TargetSize,
)
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._targets import KnownTarget

#: Mean time between the probes of all hosts at one target in back-off, in
#: seconds, and the longest time over which the probes of a round are spread.
PROBE_SPACING_S = 0.012
PROBE_SPREAD_LIMIT_S = 0.5
#: Longest back-off of a paced target before that spread, in seconds.
PACED_BACKOFF_LIMIT_S = 0.75


class TargetPaces:
    """Paces by target process; a target without one is not limited here."""

    def __init__(
        self, host: str, on_change: Callable[[StateChange], None]
    ) -> None:
        """Start without paces; this host is the only one.

        ``on_change`` is called with the log event when a pace starts or ends.
        """
        self._host = host
        self._on_change = on_change
        self._hosts: tuple[str, ...] = (host,)
        #: The pace of each process; None after its end.
        self._paces: dict[str, TargetPace | None] = {}
        self._work = BaseWork()
        self._steps: Counter[str] = Counter({Step.UP.value: 0})
        self._steps[Step.DOWN.value] = 0

    @property
    def steps(self) -> Mapping[str, int]:
        """Number of steps of all paces, by direction."""
        return self._steps

    def count(self, now: float) -> int:
        """Return the number of paced targets."""
        return sum(
            1
            for pace in self._paces.values()
            if pace is not None and not pace.overdue(now)
        )

    def replace_hosts(self, hosts: tuple[str, ...]) -> None:
        """Replace the names of the hosts that share the targets."""
        self._hosts = hosts

    def wait_s(self, target: KnownTarget, route: str, now: float) -> float:
        """Return the time until the pace allows a request, 0 if it does now.

        ``route`` is that of the request.
        """
        pace = self._pace(target, now)
        return (
            0 if pace is None else pace.wait_s(self._size(target, route), now)
        )

    def yielded_wait_s(
        self, target: KnownTarget, route: str, now: float
    ) -> float:
        """Return the same for a request that no sibling has capacity for."""
        pace = self._pace(target, now)
        return (
            0
            if pace is None
            else pace.yielded_wait_s(self._size(target, route), now)
        )

    def age_s(self, target: KnownTarget, now: float) -> float:
        """Return the time since the start of a pace, 0 without one."""
        pace = self._paces.get(target.process)
        return 0 if pace is None else now - pace.started_at

    def probe_spread_s(self, target: KnownTarget) -> float:
        """Return by how much a probe of this host is later than the first.

        The hosts probe a target in back-off one after the other.
        """
        spread_s = min(len(self._hosts) * PROBE_SPACING_S, PROBE_SPREAD_LIMIT_S)
        return spread_s * self._rank_share(target)

    def record_sent(self, target: KnownTarget) -> None:
        """Count a request that is sent."""
        pace = self._paces.get(target.process)
        if pace is not None:
            pace.record_sent()

    def record_withdrawn(self, target: KnownTarget) -> None:
        """Give back what a request took that was not sent after all."""
        pace = self._paces.get(target.process)
        if pace is not None:
            pace.record_withdrawn()

    def record_recovered(self, target: KnownTarget, now: float) -> None:
        """Start the pace of a target that answered a probe.

        The probes of the hosts were spread, so the next request may follow at
        once; those after it depend on the replies.
        """
        self._start(target, PaceCause.RECOVERED, 1, now)

    def record_unreached(self, target: KnownTarget, now: float) -> None:
        """End the pace of a target that is put into back-off."""
        pace = self._paces.get(target.process)
        if pace is not None:
            self._end(target, pace, 'backoff', now)

    def record_ratio(
        self, target: KnownTarget, ratio: float, now: float
    ) -> None:
        """Record the processing time of a reply as a multiple of siblings'."""
        pace = self._pace(target, now)
        if pace is None:
            return
        self._count(pace.record_ratio(ratio))
        if pace.reached_siblings:
            self._end(target, pace, 'prompt', now)

    def record_work(self, route: str, worked_s: float) -> None:
        """Record the processing time of one request, in seconds."""
        self._work.record(route, worked_s)

    def record_late(self, target: KnownTarget) -> None:
        """Record that a reply did not come in time."""
        pace = self._paces.get(target.process)
        if pace is not None:
            self._count(pace.record_late())

    def record_failed(self, target: KnownTarget) -> None:
        """Record a refusal, an error or a broken connection."""
        pace = self._paces.get(target.process)
        if pace is not None:
            self._count(pace.record_failed())

    def forget(self, processes: Iterable[str]) -> None:
        """Drop target processes that are gone."""
        for name in processes:
            self._paces.pop(name, None)

    def _pace(self, target: KnownTarget, now: float) -> TargetPace | None:
        """Return the pace of a target; start or end it if that is due."""
        pace = self._paces.get(target.process)
        if pace is not None:
            if not pace.overdue(now):
                return pace
            self._end(target, pace, 'age', now)
            return None
        new_at = target.new_at
        if new_at is None or target.process in self._paces:
            return None
        if now - new_at >= LIMIT_S:
            return None
        tokens = 1 - self._rank_share(target)
        return self._start(target, PaceCause.STARTED, tokens, new_at)

    def _start(
        self,
        target: KnownTarget,
        cause: PaceCause,
        initial_tokens: float,
        now: float,
    ) -> TargetPace:
        pace = TargetPace(cause, initial_tokens, now)
        self._paces[target.process] = pace
        self._report(
            'target_pace_started',
            target,
            cause=cause.value,
            fraction=pace.fraction,
            hosts=len(self._hosts),
            rank_share=1 - initial_tokens,
        )
        return pace

    def _end(
        self, target: KnownTarget, pace: TargetPace, cause: str, now: float
    ) -> None:
        self._paces[target.process] = None
        self._report(
            'target_pace_ended',
            target,
            cause=cause,
            after_s=now - pace.started_at,
            fraction=pace.fraction,
            slowness=pace.ratio,
            sent=pace.sent,
            steps_up=pace.steps_up,
            steps_down=pace.steps_down,
        )

    def _rank_share(self, target: KnownTarget) -> float:
        """Return the share of the hosts that rank before this one."""
        position = rendezvous_position(
            target.record.identity, self._host, self._hosts
        )
        return position / max(1, len(self._hosts))

    def _size(self, target: KnownTarget, route: str) -> TargetSize:
        return TargetSize(
            target.record.slots, self._work.work_s(route), len(self._hosts)
        )

    def _count(self, step: Step) -> None:
        if step is not Step.HOLD:
            self._steps[step.value] += 1

    def _report(
        self, event: str, target: KnownTarget, **fields: object
    ) -> None:
        named = {
            'target': target.record.identity,
            'service': target.record.service,
            'peer': target.record.address,
            **fields,
        }
        self._on_change(StateChange(event, tuple(named.items())))
