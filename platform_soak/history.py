"""What a run has left for the checks."""

import dataclasses
import functools
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence, Set

from platform_soak.clients import Call
from platform_soak.configurations import Evacuation, Version
from platform_soak.disruptions import Disruptions


#: Field of events with the id of an attempt.
ATTEMPT = 'attempt'
#: Kinds of events with which a run ends.
ENDS_OF_RUNS = frozenset(('ran', 'dropped'))


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of an attempt at a target."""

    at: float
    attempt: str
    server: str
    service: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call that reached a target, whether it ran there or not."""

    call: Call
    server: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostStops:
    """Planned stops of a host, and its ends that nobody asked for."""

    #: Times of the stop signals.
    stopped_at: tuple[float, ...] = ()
    #: Times at which a process was found to have ended by itself.
    ended_at: tuple[float, ...] = ()
    #: Times of reloads.
    reloaded_at: tuple[float, ...] = ()
    #: Length of its log, in bytes, and its greatest memory, in MB.
    log_bytes: int = 0
    memory_mb: float = 0


@dataclasses.dataclass(frozen=True)
class History:
    """All that callers, targets and the operator have seen."""

    calls: Sequence[Call]
    events: Sequence[Mapping]
    versions: Sequence[Version]
    evacuations: Sequence[Evacuation]
    disruptions: Disruptions
    hosts: Mapping[str, HostStops]
    #: Data centre of each target.
    zones: Mapping[str, str]
    #: Time of the record from which nothing was disturbed any more.
    calm_from: float
    length_s: float

    def runs_by_attempt(self) -> Mapping[str, Sequence[Run]]:
        """Return the runs of each attempt, in order."""
        runs: defaultdict[str, list[Run]] = defaultdict(list)
        for event in self.of('run'):
            runs[event[ATTEMPT]].append(
                Run(
                    event['at'],
                    event[ATTEMPT],
                    event['server'],
                    event['service'],
                    event['path'],
                )
            )
        return runs

    def stamps_by_attempt(self) -> Mapping[str, Mapping[str, str]]:
        """Return the service of each signature, by attempt."""
        stamps: defaultdict[str, dict[str, str]] = defaultdict(dict)
        service_by_server = {
            event['server']: event['service']
            for event in self.events
            if event['kind'] == 'server_up'
        }
        for event in self.events:
            if event['kind'] == 'ran':
                service = service_by_server[event['server']]
                stamps[event[ATTEMPT]][event['stamp']] = service
        return stamps

    def calls_by_attempt(self) -> Mapping[str, Call]:
        """Return the call of each attempt."""
        return {call.attempt: call for call in self.calls}

    def arrivals(self) -> Iterator[Arrival]:
        """Yield each arrival at a target with its call."""
        calls = self.calls_by_attempt()
        for event in self.of('reached'):
            call = calls.get(event[ATTEMPT])
            if call is not None:
                yield Arrival(call, event['server'], event['at'])

    def targets_by_attempt(self) -> Mapping[str, tuple[str, ...]]:
        """Return the targets that each attempt reached, in order."""
        targets: dict[str, tuple[str, ...]] = {}
        for event in self.of('reached'):
            known = targets.get(event[ATTEMPT], ())
            targets[event[ATTEMPT]] = (*known, event['server'])
        return targets

    def broken_attempts(self) -> Set[str]:
        """Return the attempts to which a target gave a broken answer."""
        return {event[ATTEMPT] for event in self.of('broken')}

    def failed_stamps(self, way: str) -> Set[str]:
        """Return the signatures of runs whose answer was broken in a way."""
        failed = {
            (event[ATTEMPT], event['server'])
            for event in self.of('broken')
            if event['way'] == way
        }
        return {
            event['stamp']
            for event in self.of('ran')
            if (event[ATTEMPT], event['server']) in failed
        }

    def went_down(
        self, servers: Sequence[str], start: float, end: float
    ) -> bool:
        """Return whether a target ended in a span."""
        return any(
            event['server'] in servers and start <= event['at'] <= end
            for event in self.of('server_down')
        )

    def would_last(self, attempt: str, until: float) -> bool:
        """Return whether a run was begun before a time that it would pass."""
        return any(
            event['at'] <= until < event['at'] + event.get('work_s', 0)
            for event in self._by_attempt.get(attempt, ())
            if event['kind'] == 'run'
        )

    def passed_on(self, kind: str) -> Mapping[tuple[str, str], list[float]]:
        """Return when answers in which a target said something passed on.

        That is by host and target, for successes, which name the target.
        """
        said = {(event[ATTEMPT], event['server']) for event in self.of(kind)}
        targets = self.targets_by_attempt()
        times: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
        for call in self.calls:
            for server in set(targets.get(call.attempt, ())):
                if (call.attempt, server) in said and call.names(server):
                    times[call.host.name, server].append(call.ended_at)
        return times

    def was_at_work(self, attempt: str, at: float) -> bool:
        """Return whether a run had begun and not ended at a time."""
        count = 0
        for event in self._by_attempt.get(attempt, ()):
            if event['kind'] == 'run' and event['at'] <= at:
                count += 1
            if event['kind'] in ENDS_OF_RUNS and event['at'] < at:
                count -= 1
        return count > 0

    def of(self, kind: str) -> Sequence[Mapping]:
        """Return the events of one kind, in order."""
        return self._by_kind.get(kind, ())

    @functools.cached_property
    def _by_kind(self) -> Mapping[str, Sequence[Mapping]]:
        return _group(self.events, 'kind')

    @functools.cached_property
    def _by_attempt(self) -> Mapping[str, Sequence[Mapping]]:
        events = [event for event in self.events if ATTEMPT in event]
        return _group(events, ATTEMPT)


def _group(
    events: Sequence[Mapping], field: str
) -> Mapping[str, Sequence[Mapping]]:
    grouped: defaultdict[str, list[Mapping]] = defaultdict(list)
    for event in events:
        grouped[event[field]].append(event)
    return grouped
