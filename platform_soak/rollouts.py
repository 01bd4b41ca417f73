"""The operator's roll-outs: new targets, an order, and what follows it."""

import asyncio
import itertools
import json

from platform_soak.configurations import LOOKUP_SERVICE
from platform_soak.deployment import Deployment
from platform_soak.disruptions import Disruptions
from platform_soak.plan import ZONES, RollOut
from platform_soak.servers import Server

#: Time between the start of the new targets and the order, in seconds.
REGISTERED_S = 3.0
#: Time between the order and its deadline (``durationS``), and for which the
#: status is followed, in seconds.
DURATION_S = 12.0
FOLLOWED_S = 16.0
STATUS_INTERVAL_S = 0.1
#: Share of its answers that a failing version breaks, and how many times
#: longer a slow one works.
FAILING_SHARE = 0.5
SLOW_TIMES = 5
#: States of a status.
COMPLETED = 'completed'
ROLLED_BACK = 'rolled_back'


class Rollouts:
    """Carries out roll-outs of one service, one at a time."""

    def __init__(
        self, deployment: Deployment, disruptions: Disruptions
    ) -> None:
        """Start without any."""
        self._deployment = deployment
        self._disruptions = disruptions
        self._record = deployment.record
        self._numbers = itertools.count(2)
        self._is_running = False

    async def play(self, fault: RollOut) -> None:
        """Order a roll-out and follow it, unless another one runs."""
        if self._is_running:
            return
        self._is_running = True
        version = f'v{next(self._numbers)}'
        old = self._of_service()
        new = [self._build(zone, version, fault.kind) for zone in ZONES * 2]
        for server in new:
            await server.start()
        await asyncio.sleep(REGISTERED_S)
        document = {
            'service': LOOKUP_SERVICE,
            'targetVersion': version,
            'durationS': DURATION_S,
        }
        self._record.add('ordered', version=version, rollout=fault.kind)
        await self._deployment.store.put(
            f'op/rollout/{LOOKUP_SERVICE}', document
        )
        state = await self._follow(version, old)
        self._record.add('decided', version=version, state=state)
        if state != COMPLETED:
            await self._stop(new, draining=state == ROLLED_BACK)
        self._is_running = False

    async def _follow(self, version: str, old: list[Server]) -> str:
        """Record each state of the order; return the last one."""
        state = ''
        until = self._record.now + FOLLOWED_S
        while self._record.now < until:
            await asyncio.sleep(STATUS_INTERVAL_S)
            status = self._read_status()
            if status.get('targetVersion') != version:
                continue
            if status['state'] == state:
                continue
            state = status['state']
            self._record.add('rollout_state', version=version, **status)
            if state == COMPLETED:
                await self._stop(old, draining=False)
        return state

    def _read_status(self) -> dict:
        content = self._deployment.store.value_of(
            f'status/rollout/{LOOKUP_SERVICE}'
        )
        if not content:
            return {}
        document: dict = json.loads(content)
        return document

    async def _stop(self, servers: list[Server], *, draining: bool) -> None:
        stops = [
            self._stop_one(server, draining=draining) for server in servers
        ]
        await asyncio.gather(*stops)

    async def _stop_one(self, server: Server, *, draining: bool) -> None:
        if server.is_down:
            return
        start = self._record.now
        identity = server.identity
        if draining:
            await server.leave(announced=True)
        else:
            await server.crash()
        self._disruptions.add(identity, start, self._record.now)

    def _of_service(self) -> list[Server]:
        return [
            server
            for server in self._deployment.servers
            if server.service == LOOKUP_SERVICE
        ]

    def _build(self, zone: str, version: str, kind: str) -> Server:
        usual_s = self._of_service()[0].work_s
        server = self._deployment.build_server(LOOKUP_SERVICE, zone)
        server.version = version
        server.work_s = usual_s
        match kind:
            case 'slow':
                server.work_s = SLOW_TIMES * usual_s
            case 'failing':
                server.troubles.failing_share = FAILING_SHARE
        return server
