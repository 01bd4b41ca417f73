"""Decides what a host that is being stopped still does, and until when.

A stop has three phases. While it announces the stop, the host is not ready
and serves callers until the balancer has had time to notice. While it
finishes, it accepts no new connection, closes idle ones and serves what it
has. When the last requests have ended, it writes their answers and closes.
"""

import dataclasses
import enum

#: Time within which the balancer stops sending callers to a host that is not
#: ready, in seconds: two checks a second apart and their responses.
BALANCER_NOTICE_S = 2.6
#: Time without a new connection after which the balancer is taken to have
#: noticed, in seconds. It uses all hosts of a data centre, stopping ones too,
#: while fewer than half of them are ready.
QUIET_S = 0.4
#: Time reserved for closing down before the host is killed, in seconds.
EXIT_MARGIN_S = 0.8
#: Part of that time for writing the last answers, in seconds. The rest is for
#: the end of the process.
ANSWERING_S = 0.3
#: Time before the end of all requests at which new connections are refused at
#: the latest, in seconds: what they bring could hardly be served.
LAST_CONNECTIONS_S = 1.0
#: Factor on the longest recent time of a route's requests, below which
#: another of them is expected to end.
USUAL_TIME_FACTOR = 2.0


class StopPhase(enum.Enum):
    """What a host that is being stopped does."""

    #: Not ready; serves new and open connections.
    ANNOUNCING = 'announcing'
    #: Accepts no connection, closes idle ones, finishes requests.
    FINISHING = 'finishing'
    #: Writes the last answers.
    ANSWERING = 'answering'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """Monotonic times of a stop, derived from the time until the kill."""

    #: Time of the stop signal.
    started_at: float
    #: Time from then until the kill, in seconds.
    grace_s: float
    #: Time that the balancer needs to notice, in seconds. A host that was
    #: never ready need not wait.
    notice_s: float = BALANCER_NOTICE_S

    @property
    def announced_at(self) -> float:
        """Time at which the balancer should have noticed."""
        return min(self.started_at + self.notice_s, self.requests_end_at)

    @property
    def last_connections_at(self) -> float:
        """Time after which no connection is accepted, come what may."""
        return max(self.announced_at, self.requests_end_at - LAST_CONNECTIONS_S)

    @property
    def requests_end_at(self) -> float:
        """Time at which requests end, with or without an answer."""
        return self.started_at + max(0, self.grace_s - EXIT_MARGIN_S)

    @property
    def answers_end_at(self) -> float:
        """Time at which open connections are cut."""
        return self.requests_end_at + ANSWERING_S


@dataclasses.dataclass(frozen=True, slots=True)
class StopObservation:
    """What a host sees while it is being stopped."""

    #: Open connections of callers, and requests of other hosts.
    unfinished: int
    #: Monotonic time of the latest new connection of a caller.
    accepted_at: float


def next_phase(
    phase: StopPhase,
    times: StopTimes,
    seen: StopObservation,
    now: float,
) -> StopPhase:
    """Return the phase that follows from what is seen, or the same one."""
    if phase == StopPhase.ANNOUNCING:
        quiet = now - seen.accepted_at >= QUIET_S
        if now < times.announced_at:
            return phase
        if quiet or now >= times.last_connections_at:
            return StopPhase.FINISHING
        return phase
    if phase == StopPhase.STOPPED or not seen.unfinished:
        return StopPhase.STOPPED
    if now >= times.answers_end_at:
        return StopPhase.STOPPED
    if now >= times.requests_end_at:
        return StopPhase.ANSWERING
    return phase


@dataclasses.dataclass(frozen=True, slots=True)
class RequestNeed:
    """How long a request may take."""

    #: Monotonic time until which its caller waits, by its route's timeout and
    #: its own deadline.
    deadline: float
    #: True if it may run more than once, so that its caller may repeat it
    #: should the host have to end it.
    repeatable: bool
    #: Longest recent time of requests of its route in seconds; None if
    #: unknown.
    usual_s: float | None


def can_end_in_time(need: RequestNeed, ends_at: float, now: float) -> bool:
    """Return whether a request can be taken that has to end by ``ends_at``.

    It can if its caller waits no longer. One that may be repeated can also if
    the recent requests of its route took a small part of the time left.
    """
    if need.deadline <= ends_at:
        return True
    if not need.repeatable or need.usual_s is None:
        return False
    return now + USUAL_TIME_FACTOR * need.usual_s <= ends_at
