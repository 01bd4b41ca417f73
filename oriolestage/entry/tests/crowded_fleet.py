"""Replays load on many hosts that share targets, which turn requests away."""

import asyncio
import random
from collections.abc import Iterable
from unittest import mock

from oriolestage.admission._accounts import Account
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.crowded_host import (
    SLOTS,
    Arrival,
    CrowdedHost,
    Served,
    SlotTargets,
)
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._answers import (
    AttemptNotRun,
    AttemptOutcome,
    NotRunReason,
)
from oriolestage.routing._rules import RouteRule

#: Requests that a target queues beyond its slots.
QUEUE = 12
#: Connections that a target accepts from all hosts together.
CONNECTIONS = 56
#: Targets of the service.
TARGETS = 6
#: Time after which a target turns a request away, in seconds.
SHED_S = 0.001


class QueueTargets(SlotTargets):
    """Targets that turn requests away when their queue is full."""

    def __init__(self, seed: int) -> None:
        """Create targets whose times depend on ``seed``."""
        super().__init__(seed)
        self._present: dict[str, int] = {}

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Answer an attempt, or turn it away."""
        present = self._present.get(call.target, 0)
        if present >= SLOTS + QUEUE:
            await asyncio.sleep(SHED_S)
            return AttemptNotRun(NotRunReason.SHED)
        self._present[call.target] = present + 1
        try:
            return await super().send(call)
        finally:
            self._present[call.target] -= 1


def replay_fleet(
    rule: RouteRule,
    arrivals: Iterable[Arrival],
    seed: int,
    *,
    hosts: int,
    with_line: bool = True,
    up_s: float = 0,
) -> list[Served]:
    """Return what became of requests, each of which goes to any host.

    When the replay begins, all hosts have run for ``up_s`` seconds.
    """
    listed = tuple(arrivals)
    accounts: tuple[Account, ...] = tuple({one.account for one in listed})
    sender = QueueTargets(seed)
    fleet = [
        CrowdedHost(
            (rule,),
            accounts,
            seed + number,
            targets=TARGETS,
            with_line=with_line,
            sender=sender,
            connections=CONNECTIONS,
            hosts=hosts,
            up_s=up_s,
        )
        for number in range(hosts)
    ]
    rng = random.Random(seed)

    async def replay() -> list[Served]:
        calls = [
            asyncio.create_task(rng.choice(fleet).call(number, arrival))
            for number, arrival in enumerate(listed)
        ]
        return await asyncio.gather(*calls)

    with mock.patch('oriolestage.entry._request_log.log_event'):
        return run_in_virtual_time(VirtualTimeLoop(), replay())
