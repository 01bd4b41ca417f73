"""What a run has left for the checks."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence, Set

from platform_soak.clients import Call
from platform_soak.configurations import Evacuation, Version
from platform_soak.disruptions import Disruptions


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of an attempt at a target."""

    at: float
    attempt: str
    server: str
    service: str
    path: str


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


@dataclasses.dataclass(frozen=True, slots=True)
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
        for event in self.events:
            if event['kind'] != 'run':
                continue
            runs[event['attempt']].append(
                Run(
                    event['at'],
                    event['attempt'],
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
                stamps[event['attempt']][event['stamp']] = service
        return stamps

    def arrivals(self) -> Iterator[tuple[Call, str, float]]:
        """Yield each arrival at a target with its call."""
        calls = {call.attempt: call for call in self.calls}
        for event in self._of('reached'):
            call = calls.get(event['attempt'])
            if call is not None:
                yield call, event['server'], event['at']

    def targets_by_attempt(self) -> Mapping[str, tuple[str, ...]]:
        """Return the targets that each attempt reached, in order."""
        targets: dict[str, tuple[str, ...]] = {}
        for event in self._of('reached'):
            known = targets.get(event['attempt'], ())
            targets[event['attempt']] = (*known, event['server'])
        return targets

    def broken_attempts(self) -> Set[str]:
        """Return the attempts to which a target gave a broken answer."""
        return {event['attempt'] for event in self._of('broken')}

    def failed_stamps(self, way: str) -> Set[str]:
        """Return the signatures of runs whose answer was broken in a way."""
        failed = {
            (event['attempt'], event['server'])
            for event in self._of('broken')
            if event['way'] == way
        }
        return {
            event['stamp']
            for event in self._of('ran')
            if (event['attempt'], event['server']) in failed
        }

    def went_down(
        self, servers: Sequence[str], start: float, end: float
    ) -> bool:
        """Return whether a target ended in a span."""
        return any(
            event['server'] in servers and start <= event['at'] <= end
            for event in self._of('server_down')
        )

    def was_at_work(self, attempt: str, at: float) -> bool:
        """Return whether a run had begun and not ended at a time."""
        begun = [
            event['server']
            for event in self._of('run')
            if event['attempt'] == attempt and event['at'] <= at
        ]
        ended = [
            event['server']
            for kind in ('ran', 'dropped')
            for event in self._of(kind)
            if event['attempt'] == attempt and event['at'] < at
        ]
        return len(begun) > len(ended)

    def _of(self, kind: str) -> Iterator[Mapping]:
        for event in self.events:
            if event['kind'] == kind:
                yield event
