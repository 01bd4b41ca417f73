"""Carries out the faults of a plan."""

import asyncio
import signal
from collections.abc import Sequence

from platform_soak import plan
from platform_soak.configurations import Configurations
from platform_soak.deployment import Deployment
from platform_soak.disruptions import Cause, Disruptions
from platform_soak.hosts import EntryHost
from platform_soak.rollouts import Rollouts
from platform_soak.servers import Server
from platform_soak.store_faults import StoreFaults

#: Time from SIGTERM to SIGKILL (``graceS``), in seconds.
GRACE_S = 6.0
#: Time that a process needs to serve after its start, in seconds.
START_S = 1.5


class FaultInjector:
    """Injects faults into a deployment and records what they disturb."""

    def __init__(
        self,
        deployment: Deployment,
        configurations: Configurations,
        disruptions: Disruptions,
    ) -> None:
        """Create an injector for a running deployment."""
        self._deployment = deployment
        self._configurations = configurations
        self._disruptions = disruptions
        self._record = deployment.record
        self._store_faults = StoreFaults(deployment, disruptions)
        self._rollouts = Rollouts(deployment, disruptions)
        self._tasks: set[asyncio.Task[None]] = set()
        #: Hosts that are being stopped or restarted.
        self._restarting: set[str] = set()

    async def play(self, faults: Sequence[plan.Fault], start_at: float) -> None:
        """Inject each fault at its time after ``start_at`` of the record.

        Returns once the last one is over.
        """
        for fault in faults:
            await asyncio.sleep(start_at + fault.at_s - self._record.now)
            self._record.add('fault', fault=repr(fault))
            task = asyncio.create_task(self._inject(fault))
            self._tasks.add(task)
        await asyncio.gather(*self._tasks)

    def cancel(self) -> None:
        """Stop injecting."""
        for task in self._tasks:
            task.cancel()

    async def _inject(self, fault: plan.Fault) -> None:
        deployment = self._deployment
        match fault:
            case plan.StopHost(host=number, down_s=down_s):
                await self._stop(deployment.hosts[number], down_s)
            case plan.KillHost(host=number, down_s=down_s):
                await self._kill(deployment.hosts[number], down_s)
            case plan.PauseHost(host=number, for_s=for_s):
                await self._pause(deployment.hosts[number], for_s)
            case plan.ReloadHost(host=number):
                deployment.hosts[number].reload(self._record.now)
            case plan.CrashTarget(target=number, down_s=down_s):
                await self._crash(deployment.servers[number], down_s)
            case plan.LeaveTarget(target=number, announced=announced):
                await self._leave(
                    deployment.servers[number], announced=announced
                )
            case plan.BreakAnswers(target=number, way=way, for_s=for_s):
                await self._break(deployment.servers[number], way, for_s)
            case plan.LimitTarget(target=number, per_s=per_s, for_s=for_s):
                await self._limit(deployment.servers[number], per_s, for_s)
            case plan.TurnAway(
                target=number, retry_after_s=rest_s, for_s=for_s
            ):
                await self._turn_away(deployment.servers[number], rest_s, for_s)
            case plan.SlowTarget(target=number, for_s=for_s):
                await self._slow(deployment.servers[number], for_s)
            case plan.ChangeConfiguration():
                await self._configurations.change()
            case plan.CloseDataCentre(zone=zone, for_s=for_s):
                await self._configurations.close_zone(zone, for_s)
            case plan.RollOut():
                await self._rollouts.play(fault)
            case _:
                await self._store_faults.inject(fault)

    async def _stop(self, host: EntryHost, down_s: float) -> None:
        if host.name in self._restarting:
            return
        self._restarting.add(host.name)
        start = self._record.now
        host.stopped_at = start
        host.stops.append(start)
        host.send(signal.SIGTERM)
        ended = await host.wait_ended(GRACE_S)
        self._record.add('stopped', host=host.name, in_time=ended)
        if not ended:
            host.send(signal.SIGKILL)
        await asyncio.sleep(down_s)
        await self._start_again(host, start, Cause.STOP)

    async def _kill(self, host: EntryHost, down_s: float) -> None:
        if host.name in self._restarting:
            return
        self._restarting.add(host.name)
        start = self._record.now
        host.send(signal.SIGKILL)
        await asyncio.sleep(down_s)
        await self._start_again(host, start, Cause.KILL)

    async def _start_again(
        self, host: EntryHost, since: float, cause: Cause
    ) -> None:
        await host.end()
        await host.start()
        until = self._record.now + START_S
        self._disruptions.add(host.name, since, until, cause)
        self._restarting.discard(host.name)

    async def _pause(self, host: EntryHost, for_s: float) -> None:
        start = self._record.now
        host.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        host.send(signal.SIGCONT)
        end = self._record.now
        self._disruptions.add(host.name, start, end, Cause.FREEZE)
        host.pauses.append((start, self._record.now))

    async def _crash(self, server: Server, down_s: float) -> None:
        if server.is_down:
            return
        start = self._record.now
        identity = server.identity
        await server.crash()
        await asyncio.sleep(down_s)
        await server.start()
        self._disruptions.add(identity, start, self._record.now)

    async def _leave(self, server: Server, *, announced: bool) -> None:
        if server.is_down or server.is_leaving:
            return
        start = self._record.now
        identity = server.identity
        await server.leave(announced=announced)
        self._disruptions.add(identity, start, self._record.now)
        if server.is_down:
            await server.start()

    async def _break(self, server: Server, way: str, for_s: float) -> None:
        start = self._record.now
        server.troubles.broken_way = way
        await asyncio.sleep(for_s)
        server.troubles.broken_way = ''
        self._disruptions.add(server.identity, start, self._record.now)

    async def _limit(self, server: Server, per_s: float, for_s: float) -> None:
        server.troubles.limit_per_s = per_s
        await asyncio.sleep(for_s)
        server.troubles.limit_per_s = None

    async def _turn_away(
        self, server: Server, rest_s: int, for_s: float
    ) -> None:
        server.troubles.retry_after_s = rest_s
        await asyncio.sleep(for_s)
        server.troubles.retry_after_s = 0

    async def _slow(self, server: Server, for_s: float) -> None:
        server.troubles.is_pausing = True
        await asyncio.sleep(for_s)
        server.troubles.is_pausing = False
