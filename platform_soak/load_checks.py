"""Checks of how much reaches targets, and for how long."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

from platform_soak.breaches import Breach, breach_of
from platform_soak.clients import LEFT, Call
from platform_soak.configs import MAX_ATTEMPTS
from platform_soak.disruptions import CONTACT_S, INTERRUPTIONS
from platform_soak.history import Arrival, History
from platform_soak.placement_checks import DRAIN_S

#: Time within which hosts heed what they have passed on, in seconds.
HEED_S = 0.5
#: Arrivals of requests whose callers have left, and requests that run on too
#: many targets, that the rules allow.
LATE_ALLOWED = 3
OVERRUN_ALLOWED = 3
#: Share of the runs for callers that have left that may last on.
LASTING_SHARE = 0.25
#: Requests that may reach a target that has turned their host away.
REST_ALLOWED = 2
#: Length of the window of ``Server-Limit``, in seconds, and what is allowed
#: in it: so many times the limit, and so many requests more.
LIMIT_WINDOW_S = 4.0
LIMIT_TIMES = 1.5
LIMIT_EXTRA = 5


def check_left_callers(history: History) -> Iterator[Breach]:
    """GONE: nothing is done for callers that have left."""
    left = {
        call.attempt: call
        for call in history.calls
        if call.problem == LEFT
        and history.disruptions.in_touch(
            call.host.name, call.ended_at, call.ended_at + HEED_S
        )
    }
    late = [
        arrival
        for arrival in history.arrivals()
        if arrival.call.attempt in left
        and arrival.at > arrival.call.ended_at + HEED_S
    ]
    if len(late) > LATE_ALLOWED:
        for arrival in late:
            text = f'reached {arrival.server} after its caller left'
            yield breach_of('GONE', arrival.call, text)
    lasting = [
        call
        for call in left.values()
        if call.repeatable
        and history.would_last(call.attempt, call.ended_at + HEED_S)
    ]
    working = [
        call
        for call in lasting
        if history.was_at_work(call.attempt, call.ended_at + HEED_S)
    ]
    if len(working) > LASTING_SHARE * len(lasting):
        for call in working:
            yield breach_of('GONE', call, 'ran on after its caller left')


def check_attempts(history: History) -> Iterator[Breach]:
    """BUDGET: an attempt of a caller runs on few targets of a service."""
    over: list[Call] = []
    runs = history.runs_by_attempt()
    for call in history.calls:
        servers = {
            (run.service, run.server)
            for run in runs.get(call.attempt, ())
            if not history.went_down(
                (run.server,), call.last_sent_at, call.ended_at
            )
        }
        counts = Counter(service for service, _ in servers)
        if any(count > MAX_ATTEMPTS for count in counts.values()):
            over.append(call)
    if len(over) > OVERRUN_ALLOWED:
        for call in over:
            yield breach_of('BUDGET', call, 'ran on too many targets')


def check_rests(history: History) -> Iterator[Breach]:
    """BUDGET: targets that turn a host away get a rest from it."""
    arrivals = _arrivals_by_target(history)
    calls = history.calls_by_attempt()
    for event in history.of('turned_away'):
        call = calls.get(event['attempt'])
        if call is None:
            continue
        since, server = event['at'], event['server']
        early = [
            arrival
            for arrival in arrivals.get(server, ())
            if arrival.call.host.name == call.host.name
            and since + HEED_S < arrival.at < since + event['rest_s']
            and not _is_interrupted(history, arrival, since)
        ]
        if len(early) > REST_ALLOWED:
            text = f'{len(early)} more reached {server} that turned it away'
            yield breach_of('BUDGET', call, text)


def check_limits(history: History) -> Iterator[Breach]:
    """LIMIT: targets get what they say they take."""
    arrivals = _arrivals_by_target(history)
    passed_on = history.passed_on('said_limit')
    said: defaultdict[str, list[Mapping]] = defaultdict(list)
    for event in history.of('said_limit'):
        said[event['server']].append(event)
    for server, events in said.items():
        first_at = events[0]['at']
        counted = [
            arrival.at
            for arrival in arrivals.get(server, ())
            if first_at + CONTACT_S <= arrival.at <= events[-1]['at']
            and _knew(history, arrival, passed_on)
        ]
        per_s = max(event['per_s'] for event in events)
        allowed = LIMIT_TIMES * per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
        most = most_in_window(counted, LIMIT_WINDOW_S)
        if most > allowed:
            text = f'{server} got {most} in 4 s, says {per_s} a second'
            yield Breach('LIMIT', first_at, text)


def check_said_leaving(history: History) -> Iterator[Breach]:
    """DRAIN: hosts that were told that a target leaves send it nothing."""
    passed_on = history.passed_on('said_leaving')
    for arrival in history.arrivals():
        times = passed_on.get((arrival.call.host.name, arrival.server), ())
        told = [
            at
            for at in times
            if at + DRAIN_S < arrival.call.last_sent_at
            and not _is_interrupted(history, arrival, at)
        ]
        if told:
            text = f'reached {arrival.server} that said it leaves'
            yield breach_of('DRAIN', arrival.call, text)


def _arrivals_by_target(history: History) -> Mapping[str, Sequence[Arrival]]:
    arrivals: defaultdict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals():
        arrivals[arrival.server].append(arrival)
    return arrivals


def _is_interrupted(history: History, arrival: Arrival, since: float) -> bool:
    """Return whether a restart or a freeze excuses the host of an arrival."""
    return history.disruptions.touches(
        arrival.call.host.name, since, arrival.at, INTERRUPTIONS
    )


def _knew(
    history: History,
    arrival: Arrival,
    passed_on: Mapping[tuple[str, str], Sequence[float]],
) -> bool:
    """Return whether the host of an arrival had passed on such an answer."""
    times = passed_on.get((arrival.call.host.name, arrival.server), ())
    return any(
        at + HEED_S <= arrival.at and not _is_interrupted(history, arrival, at)
        for at in times
    )


def most_in_window(moments: Iterable[float], window_s: float) -> int:
    """Return the greatest number of moments in some window."""
    times = sorted(moments)
    most = 0
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
