"""Discrete-event simulation of the hosts of one scenario."""

import heapq
import itertools
import random
from collections.abc import Callable

from oriolestage.core import Effect, NodeCore
from scenarios.observations import Observations
from trial.layout import Layout

# Time, sequence number and callback; the number keeps the order of events at
# the same time.
_Event = tuple[float, int, Callable[[], None]]
#: Executes an effect that a host's core requested.
EffectExecutor = Callable[['CoreHost', NodeCore, Effect], None]


class CoreHost:
    """A host: its decision core and the state of its process."""

    def __init__(self, name: str, data_centre: str) -> None:
        """Create a host that is not running."""
        self.name = name
        self.data_centre = data_centre
        #: None while the host is not running.
        self.core: NodeCore | None = None
        self.frozen = False
        self.start_count = 0
        #: Events that arrived while the process was frozen.
        self.deferred: list[Callable[[], None]] = []
        #: Time of the scheduled timer event, infinite if there is none.
        self.wakeup = float('inf')

    @property
    def process(self) -> str:
        """Identify the current process among all that ran on the host."""
        return f'{self.name}/{self.start_count}'


class Simulation:
    """Simulated clock, event queue, random numbers and hosts of a scenario."""

    def __init__(self, layout: Layout, seed: int) -> None:
        """Start at time 0.

        Set ``execute_effect`` before a host starts.
        """
        self.layout = layout
        self.random = random.Random(seed)
        self.now: float = 0
        #: Time at which the scenario began, after the warm-up.
        self.origin: float = 0
        self.observations = Observations()
        self.hosts = {
            host.name: CoreHost(host.name, host.data_centre)
            for host in layout.hosts
        }
        self.execute_effect: EffectExecutor = _raise_no_executor
        self._heap: list[_Event] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay of simulated time."""
        item = (self.now + delay_s, next(self._sequence), callback)
        heapq.heappush(self._heap, item)

    def begin_scenario(self) -> None:
        """Set the scenario time to 0 and clear the recorded target requests."""
        self.origin = self.now
        for entries in (self.observations.runs, self.observations.received):
            entries.clear()

    def scenario_time(self) -> float:
        """Return the seconds since the scenario began."""
        return self.now - self.origin

    def run_until(self, end_s: float) -> None:
        """Process all events up to a scenario time."""
        end = self.origin + end_s
        while self._heap and self._heap[0][0] <= end:
            when, _, callback = heapq.heappop(self._heap)
            self.now = when
            callback()
        self.now = end

    def run_on_host(
        self,
        host: CoreHost,
        core: NodeCore,
        action: Callable[[], None],
    ) -> None:
        """Deliver an event to a process.

        Defer it while the process is frozen, and drop it if ``core`` is no
        longer the host's process.
        """
        if host.core is not core:
            return
        if host.frozen:
            host.deferred.append(lambda: self.run_on_host(host, core, action))
            return
        action()
        self.process_effects(host)

    def process_effects(self, host: CoreHost) -> None:
        """Execute the pending effects of a core and schedule its timer."""
        core = host.core
        if core is None:
            return
        for effect in core.take_effects():
            self.execute_effect(host, core, effect)
        wakeup = core.next_wakeup
        if wakeup < host.wakeup or host.wakeup <= self.now:
            host.wakeup = wakeup
            self.call_later(
                max(0, wakeup - self.now),
                lambda: self._wake(host, core),
            )

    def _wake(self, host: CoreHost, core: NodeCore) -> None:
        host.wakeup = float('inf')
        self.run_on_host(host, core, lambda: core.on_time(self.now))


def _raise_no_executor(host: CoreHost, core: NodeCore, effect: Effect) -> None:
    raise RuntimeError(f'{host.name}: no executor is set for {effect}')
