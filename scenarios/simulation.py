"""Time, hosts and what was seen in one scenario on decision cores."""

import heapq
import itertools
import random
from collections.abc import Callable

from oriolestage.core import Effect, NodeCore
from scenarios.observations import Observations
from trial.layout import Layout

_Event = tuple[float, int, Callable[[], None]]
#: Carries out an effect of a host's core.
EffectExecutor = Callable[['CoreHost', NodeCore, Effect], None]


class CoreHost:
    """One host: a core and the state of its process."""

    def __init__(self, name: str, data_centre: str) -> None:
        """Start without a core."""
        self.name = name
        self.data_centre = data_centre
        self.core: NodeCore | None = None
        self.frozen = False
        self.start_count = 0
        self.deferred: list[Callable[[], None]] = []
        self.wakeup = float('inf')

    @property
    def process(self) -> str:
        """Names one process among all that ran on the host."""
        return f'{self.name}/{self.start_count}'


class Simulation:
    """What the parts of a scenario share."""

    def __init__(self, layout: Layout, seed: int) -> None:
        """Start at time 0; ``carry_out`` has to be set before a host acts."""
        self.layout = layout
        self.random = random.Random(seed)
        self.now: float = 0
        self.origin: float = 0
        self.observations = Observations()
        self.hosts = {
            host.name: CoreHost(host.name, host.data_centre)
            for host in layout.hosts
        }
        self.execute_effect: EffectExecutor = _raise_not_connected
        self._heap: list[_Event] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        item = (self.now + delay_s, next(self._sequence), callback)
        heapq.heappush(self._heap, item)

    def begin_scenario(self) -> None:
        """Let observations and times of the scenario count from now on."""
        self.origin = self.now
        for entries in (self.observations.runs, self.observations.received):
            entries.clear()

    def scenario_time(self) -> float:
        """Give the time as the scenario counts it."""
        return self.now - self.origin

    def run_until(self, end_s: float) -> None:
        """Let everything happen up to a time of the scenario."""
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
        """Let something happen to a process, later if it is frozen."""
        if host.core is not core:
            return
        if host.frozen:
            host.deferred.append(lambda: self.run_on_host(host, core, action))
            return
        action()
        self.process_effects(host)

    def process_effects(self, host: CoreHost) -> None:
        """Carry out the effects of a core and set its timer."""
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


def _raise_not_connected(
    host: CoreHost, core: NodeCore, effect: Effect
) -> None:
    raise RuntimeError(f'{host.name}: nobody carries out {effect}')
