"""Plays a plan and checks what it has left."""

import asyncio
import dataclasses
import random
import time
from pathlib import Path

from platform_soak.account_checks import count_not_owed
from platform_soak.breaches import Breach
from platform_soak.callers import KeepingCaller
from platform_soak.checks import check_all
from platform_soak.configurations import (
    BOOKING_SERVICE,
    LOOKUP_SERVICE,
    SHARDS,
    Configurations,
)
from platform_soak.deployment import Deployment
from platform_soak.disruptions import CONTACT_S, Cause, Disruptions
from platform_soak.faults import GRACE_S, START_S, FaultInjector
from platform_soak.habits import BOOKING, habits_of, with_key
from platform_soak.history import History, HostStops
from platform_soak.hosts import EntryHost
from platform_soak.plan import (
    ZONES,
    Fault,
    KillHost,
    Plan,
    PlanError,
    RollOut,
    StopHost,
)
from platform_soak.record import RECORD_NAME
from platform_soak.rollouts import FOLLOWED_S, REGISTERED_S
from platform_soak.servers import DRAIN_EXTRA_S, DRAIN_S

#: Time for which targets work on a request, in seconds.
WORK_S = 0.08
SHARD_WORK_S = 0.02
#: Longest time for which they work on a booking, in seconds.
BOOKING_WORK_S = 2.2
#: Bookings that a target runs at a time.
BOOKING_SLOTS = 30
#: Interval of looking for processes that have ended, in seconds.
WATCH_INTERVAL_S = 0.1
KB_PER_MB = 1024
#: Zones of the targets of a service: two in each, so that one may be lost.
SERVICE_ZONES = (*ZONES, *ZONES)
SHARD_ZONES = ZONES[:2]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a run ended."""

    plan: Plan
    breaches: list[Breach]
    calls: int
    #: Calls to which an answer is owed.
    owed: int
    answered: int
    refused: int
    folder: Path


def target_zones() -> dict[str, list[str]]:
    """Return the data centres of the targets of each service."""
    zones: dict[str, list[str]] = {
        LOOKUP_SERVICE: list(SERVICE_ZONES),
        BOOKING_SERVICE: list(SERVICE_ZONES),
    }
    for shard in SHARDS:
        zones[shard] = list(SHARD_ZONES)
    return zones


def target_count() -> int:
    """Return the number of targets of a run."""
    return sum(len(zones) for zones in target_zones().values())


def check_targets(plan: Plan) -> None:
    """Raise ``PlanError`` if a plan names a target that no run has."""
    for fault in plan.faults:
        if getattr(fault, 'target', 0) >= target_count():
            raise PlanError(f'{fault} beyond {target_count()} targets')


async def play(plan: Plan, folder: Path) -> Outcome:
    """Play a plan; leave the record and the logs of all hosts in ``folder``.

    Raises ``NotStartedError`` if the hosts do not become ready.
    """
    folder.mkdir(parents=True, exist_ok=True)
    deployment = Deployment(
        plan.seed,
        folder,
        {BOOKING_SERVICE: BOOKING_SLOTS},
        plan.production,
    )
    if any(isinstance(fault, RollOut) for fault in plan.faults):
        deployment.policies = ('rollout',)
    configurations = Configurations(
        deployment.store, deployment.record, has_accounts=plan.accounts
    )
    disruptions = Disruptions()
    ends: dict[str, list[float]] = {}
    watcher = asyncio.create_task(_watch_processes(deployment, ends))
    try:
        await deployment.start(configurations.first(), target_zones())
        history = await _play_traffic(
            plan, deployment, configurations, disruptions, ends
        )
    finally:
        watcher.cancel()
        await _close(deployment, folder)
    statuses = [
        0 if call.answer is None else call.answer.status
        for call in history.calls
    ]
    breaches = check_all(history)
    for breach in breaches:
        deployment.record.add(
            'breach', rule=breach.rule, breached_at=breach.at, text=breach.text
        )
    deployment.record.write(folder / RECORD_NAME)
    return Outcome(
        plan,
        breaches,
        calls=len(statuses),
        owed=len(statuses) - count_not_owed(history),
        answered=statuses.count(200),
        refused=statuses.count(503),
        folder=folder,
    )


async def _close(deployment: Deployment, folder: Path) -> None:
    await deployment.close()
    deployment.record.write(folder / RECORD_NAME)


async def _play_traffic(
    plan: Plan,
    deployment: Deployment,
    configurations: Configurations,
    disruptions: Disruptions,
    ends: dict[str, list[float]],
) -> History:
    record = deployment.record
    start_at = record.now
    record.add('traffic', unix_s=time.time())
    for host in deployment.hosts:
        disruptions.add(host.name, 0, start_at, Cause.START)
    _set_work(deployment)
    injector = FaultInjector(deployment, configurations, disruptions)
    faults = asyncio.create_task(injector.play(plan.faults, start_at))
    try:
        await _send_requests(plan, deployment, start_at + plan.length_s)
        calm_from = _calm_from(plan, start_at)
        await faults
    finally:
        injector.cancel()
        faults.cancel()
    return History(
        calls=deployment.clients.calls,
        events=record.events,
        versions=configurations.versions,
        evacuations=configurations.evacuations,
        disruptions=disruptions,
        hosts={
            host.name: _describe(host, ends.get(host.name, []))
            for host in deployment.hosts
        },
        zones={
            event['server']: event['zone'] for event in record.of('server_up')
        },
        calm_from=calm_from,
        length_s=plan.length_s,
    )


def _set_work(deployment: Deployment) -> None:
    """Set how long targets work on a request."""
    for server in deployment.servers:
        server.work_s = SHARD_WORK_S if server.service in SHARDS else WORK_S
        if server.service == BOOKING_SERVICE:
            server.longest_work_s = BOOKING_WORK_S


async def _send_requests(
    plan: Plan, deployment: Deployment, until: float
) -> None:
    """Let all callers send their requests until a time of the record."""
    clients = deployment.clients
    booking = with_key(BOOKING, plan)
    work = [
        clients.send_steadily(booking, zone, plan.bookings_per_s, plan.length_s)
        for zone in ZONES
    ]
    for zone in ZONES:
        for number, habit in enumerate(habits_of(plan)):
            caller = KeepingCaller(
                deployment.balancer,
                deployment.record,
                clients.calls,
                zone,
                random.Random(f'{plan.seed}/{zone}/{number}'),
            )
            work.append(caller.run(habit, until))
    await asyncio.gather(*work)
    await clients.finish()


def _calm_from(plan: Plan, start_at: float) -> float:
    """Return the time from which callers have to be served as usual."""
    last_s = max((over_s(fault) for fault in plan.faults), default=0)
    return start_at + min(plan.length_s - 1, last_s + CONTACT_S)


def over_s(fault: Fault) -> float:
    """Return the time at which a fault is over, in seconds."""
    over_s = fault.at_s + getattr(fault, 'for_s', 0)
    if isinstance(fault, (StopHost, KillHost)):
        over_s += fault.down_s + START_S
    if isinstance(fault, RollOut):
        over_s += REGISTERED_S + FOLLOWED_S + DRAIN_S + DRAIN_EXTRA_S
    if isinstance(fault, StopHost):
        over_s += GRACE_S
    return over_s


def _describe(host: EntryHost, ended_at: list[float]) -> HostStops:
    return HostStops(
        stopped_at=tuple(host.stops),
        ended_at=tuple(ended_at),
        reloaded_at=tuple(host.reloads),
        log_bytes=host.log_bytes,
        memory_mb=host.peak_memory_kb() / KB_PER_MB,
    )


async def _watch_processes(
    deployment: Deployment, ends: dict[str, list[float]]
) -> None:
    """Record processes that end although nobody asked for it."""
    seen: set[int] = set()
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        for host in deployment.hosts:
            pid = host.unasked_end()
            if pid is None or pid in seen:
                continue
            seen.add(pid)
            ends.setdefault(host.name, []).append(deployment.record.now)
