"""A host that registers at a store whose answers can be lost."""

import asyncio
from collections import deque
from typing import cast

from oriolestage.entry._host_registration import HostRegistration
from oriolestage.entry._ports import Store
from oriolestage.platform.tests.model_calls import ModelCalls, ModelLeases
from oriolestage.routing._facts import HostRecord

RECORD = HostRecord('host-1', 'dc-a', '127.0.0.1:9')
#: Time by which the host's copy of the store is behind, in seconds: the
#: longest pause between two watches at a propagation limit of 5 s.
BEHIND_S = 1.0
#: Interval of samples, in seconds.
SAMPLE_S = 0.05


class Watch:
    """Samples whether the host is registered, as its copy of the store."""

    def __init__(self, calls: ModelCalls, *, stuck: bool) -> None:
        """Start without samples."""
        self._calls = calls
        self._stuck = stuck
        self.samples: list[tuple[float, bool]] = []
        self._behind: deque[bool] = deque([False])

    def is_listed(self) -> bool:
        """Return whether the host was registered `BEHIND_S` ago."""
        return self._behind[0]

    def missing_after(self, since: float) -> list[float]:
        """Return the times after ``since`` at which it was not registered."""
        return [
            at - since
            for at, registered in self.samples
            if at > since and not registered
        ]

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            registered = self._calls.holds(RECORD)
            now = asyncio.get_running_loop().time()
            self.samples.append((now, registered))
            self._behind.append(registered and not self._stuck)
            if len(self._behind) > BEHIND_S / SAMPLE_S:
                self._behind.popleft()
            await asyncio.sleep(SAMPLE_S)


class Process:
    """One process of the host after another, under one name."""

    def __init__(self, *, stuck: bool = False) -> None:
        """Start the first process.

        If ``stuck``, its copy of the store stays empty.
        """
        self.calls = ModelCalls()
        self.watch = Watch(self.calls, stuck=stuck)
        self._sampling = asyncio.create_task(self.watch.run())
        self.start()

    def start(self) -> None:
        """Start a process."""
        store = cast(Store, ModelLeases(self.calls))
        self.registration = HostRegistration(
            store, RECORD, self.watch.is_listed
        )
        self._running = asyncio.create_task(self.registration.run())

    def restart(self) -> None:
        """Kill the process and start another."""
        self._running.cancel()
        self.start()

    def stop(self) -> None:
        """Kill the process for good."""
        self._running.cancel()
        self._sampling.cancel()
