"""What a run has left for the checks."""

import dataclasses
from collections import defaultdict
from collections.abc import Mapping, Sequence

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


@dataclasses.dataclass(frozen=True, slots=True)
class HostStops:
    """Planned stops of a host, and its ends that nobody asked for."""

    #: Times of the stop signals.
    stopped_at: tuple[float, ...] = ()
    #: Times at which a process was found to have ended by itself.
    ended_at: tuple[float, ...] = ()
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
