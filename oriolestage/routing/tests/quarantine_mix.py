"""Draws crashes of targets and requests, some of which cause crashes.

Hosts learn of a crash as in the product: from a refused connection, from the
entry of a new process, or when the entry lapses.
"""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from oriolestage.routing._crash_detector import (
    CrashDetector,
    Fleet,
    QuarantineReport,
)
from oriolestage.routing._trials import TrialReport

HOSTS = tuple(f'host-{number}' for number in range(6))
SERVERS = 6
#: Length of a play, and time from which no power is lost any more, in seconds.
LENGTH_S = 120.0
CALM_S = 60.0
#: Time after which an entry lapses, in seconds: three heartbeats.
LAPSE_S = 3.6
#: Time after which all hosts know what the store has taken, in seconds.
STORED_S = 0.5
#: Range of the time for which a crashed server is away, in seconds.
AWAY_S = (0.5, 6.0)
#: Work until a request crashes its server, in seconds.
CRASHING_WORK_S = 0.02
MAX_ATTEMPTS = 2
GUILTY = 0


@dataclasses.dataclass(slots=True)
class _Server:
    name: str
    incarnation: int = 0
    down: bool = False

    @property
    def process(self) -> str:
        return f'{self.name}/{self.incarnation}'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of the requests of a play."""

    #: Times at which the guilty request crashed a server, and at which a
    #: request of its kind reached a server.
    crashed_at: tuple[float, ...]
    ran_at: tuple[float, ...]
    #: Longest time from a refusal to the next answer of each innocent page;
    #: to the end of the play if there was none.
    refused_s: tuple[float, ...]


class QuarantineMix:
    """A service whose servers lose power and are crashed by a request."""

    def __init__(self, seed: int, *, pages: int = 6) -> None:
        """Draw what happens; ``pages`` are innocent and one is guilty."""
        self._random = random.Random(seed)
        self._now: float = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._detectors = {
            name: CrashDetector(lambda _: None) for name in HOSTS
        }
        self._servers = [_Server(f's-{number}') for number in range(SERVERS)]
        self._claimed: set[TrialReport] = set()
        self._crashed_at: list[float] = []
        self._ran_at: list[float] = []
        self._refused_s: dict[int, float] = dict.fromkeys(
            range(1, pages + 1), 0
        )
        #: Pages that were refused and not answered since, with the time.
        self._refused_since: dict[int, float] = {}
        for _ in range(self._random.randint(1, 3)):
            self._at(self._random.uniform(5, CALM_S), self._lose_power)
        for _ in range(self._random.randint(0, 6)):
            self._at(self._random.uniform(5, CALM_S), self._crash_any)
        self._come(GUILTY, self._random.choice((0.4, 1.5, 5)), 0)
        for page in self._refused_s:
            work_s = self._random.choice((0.05, 0.4, 1.5))
            self._come(page, self._random.choice((0.2, 1, 4)), work_s)

    def play(self) -> Outcome:
        """Let it happen."""
        self._at(0.2, self._send_reports)
        while self._due and self._due[0][0] <= LENGTH_S:
            self._now, _, call = heapq.heappop(self._due)
            call()
        self._now = LENGTH_S
        for page in tuple(self._refused_since):
            self._end_refusals(page)
        return Outcome(
            tuple(self._crashed_at),
            tuple(self._ran_at),
            tuple(self._refused_s.values()),
        )

    def _at(self, time: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (time, next(self._order), call))

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._at(self._now + delay_s, call)

    def _come(self, page: int, pause_s: float, work_s: float) -> None:
        """Let a page come at a pace, from a drawn time on."""

        def arrive() -> None:
            self._arrive(page, work_s)
            self._later(pause_s, arrive)

        self._at(self._random.uniform(0, 20), arrive)

    def _arrive(self, page: int, work_s: float) -> None:
        host = self._random.choice(HOSTS)
        detector = self._detectors[host]
        fleet = Fleet(host, HOSTS)
        trial = detector.take_due_trial(page, self._now, fleet)
        if trial is not None and self._claim(trial, detector):
            detector.start_trial(trial, self._now)
            self._run(page, work_s, host, 1)
            detector.end_trial(trial, self._now)
            return
        if detector.refuse_for_s(page, self._now, fleet) > 0:
            if page != GUILTY:
                self._refused_since.setdefault(page, self._now)
            return
        self._run(page, work_s, host, MAX_ATTEMPTS)

    def _claim(self, trial: TrialReport, detector: CrashDetector) -> bool:
        """Return whether a host alone may run a trial."""
        if detector.take_unused_trial(trial, self._now):
            return True
        if trial in self._claimed:
            return False
        self._claimed.add(trial)
        self._tell((trial,))
        return True

    def _run(self, page: int, work_s: float, host: str, attempts: int) -> None:
        """Send a request to a server, and to another one if it breaks.

        A server that refuses the connection is followed by the next one.
        """
        detector = self._detectors[host]
        servers = self._random.sample(self._servers, len(self._servers))
        server = servers.pop()
        while server.down:
            detector.record_target_down(server.process, self._now)
            if not servers:
                return
            server = servers.pop()
        detector.record_sent(page)
        process = server.process
        if page == GUILTY:
            self._ran_at.append(self._now)
            work_s = CRASHING_WORK_S

        def end() -> None:
            if page == GUILTY and server.process == process and not server.down:
                self._crashed_at.append(self._now)
                self._crash(server)
            if not server.down and server.process == process:
                detector.record_answered(page)
                self._end_refusals(page)
                return
            detector.record_connection_loss(page, process, self._now)
            if attempts > 1:
                self._run(page, work_s, host, attempts - 1)

        self._later(work_s, end)

    def _end_refusals(self, page: int) -> None:
        """Note for how long a page was refused."""
        since = self._refused_since.pop(page, self._now)
        longest_s = self._refused_s.get(page, 0)
        self._refused_s[page] = max(longest_s, self._now - since)

    def _lose_power(self) -> None:
        away_s = self._random.uniform(*AWAY_S)
        for server in self._servers:
            self._crash(server, away_s)

    def _crash_any(self) -> None:
        self._crash(self._random.choice(self._servers))

    def _crash(self, server: _Server, away_s: float | None = None) -> None:
        if server.down:
            return
        server.down = True
        process = server.process
        self._later(LAPSE_S + STORED_S, functools.partial(self._learn, process))
        if away_s is None:
            away_s = self._random.uniform(*AWAY_S)
        keeps_name = self._random.choice((True, False))

        def come_back() -> None:
            server.down = False
            server.incarnation += 1
            if keeps_name:
                self._later(STORED_S, functools.partial(self._learn, process))

        self._later(away_s, come_back)

    def _learn(self, process: str) -> None:
        """Have all hosts learn that a process is gone."""
        for detector in self._detectors.values():
            detector.record_target_down(process, self._now)

    def _send_reports(self) -> None:
        for detector in self._detectors.values():
            reports = detector.take_reports()
            if reports:
                self._tell(reports)
        self._later(0.2, self._send_reports)

    def _tell(self, reports: tuple[QuarantineReport, ...]) -> None:
        def apply() -> None:
            for report, detector in itertools.product(
                reports, self._detectors.values()
            ):
                detector.record_report(report, self._now)

        self._later(STORED_S, apply)
