"""Runs a scenario on real processes with loopback addresses."""

import asyncio
import signal
import time
from collections.abc import Mapping

import aiohttp

from scenarios.observations import Answer, Observations, OperatorAnswer
from scenarios.process_logs import ProcessLogs
from scenarios.steps import (
    Action,
    CrashRequest,
    Cut,
    Freeze,
    Heal,
    Kill,
    Operate,
    Scenario,
    Start,
    Stop,
    StoreFault,
    TargetEvent,
    TargetKeys,
    TargetSign,
    TargetVersions,
    Thaw,
)
from trial.http_calls import post
from trial.layout import association, franchise, make_layout
from trial.load import LoadGenerator
from trial.processes import Trial, running_trial

#: Wait after the load before logs are read, in seconds.
FINAL_WAIT_S = 3.0
#: Delay until a change shows in the host list, in seconds.
HOST_LIST_LAG_S = 1.0
#: Exit codes of the operator tool and the outcomes that they mean.
OPERATOR_OUTCOMES = (
    (0, 'accepted'),
    (3, 'refused'),
    (4, 'conflict'),
    (5, 'unknown'),
    (6, 'accepted'),
)
#: Client timeout of crash requests, in seconds.
CLIENT_TIMEOUT_S = 2.0
_CONTROL_BY_EVENT = (
    (TargetSign.COLD, {'cold': True}),
    (TargetSign.LEAVES, {'leaving': True}),
)


class ProcessEngine:
    """Runs one scenario on real processes."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Set up a run; ``seed`` determines the load."""
        self._scenario = scenario
        spec_factories = {'association': association, 'franchise': franchise}
        users = [
            spec_factories[name](scenario.services) for name in scenario.users
        ]
        self._layout = make_layout(users, scenario.hosts)
        self._seed = seed
        self._observations = Observations()
        self._cuts: set[tuple[str, str]] = set()
        self._cut_from_store: set[str] = set()
        self._cuts_lock = asyncio.Lock()
        self._listed_leaving: set[str] = set()
        self._origin: float = 0
        self._background: list[asyncio.Task[None]] = []

    async def run(self, freshness_limit: str = '3s') -> Observations:
        """Run the scenario and return the observations.

        ``freshness_limit`` goes into the settings of the daemons.
        """
        async with running_trial(
            self._layout,
            freshness_limit=freshness_limit,
        ) as trial:
            load = LoadGenerator(
                self._layout,
                trial.callers_url,
                self._scenario.rate,
                self._seed,
            )
            load.retry_commands = True
            self._origin = time.time()
            load_task = asyncio.create_task(load.run(self._scenario.end_s))
            await self._perform_steps(trial, load)
            await load_task
            await asyncio.gather(*self._background)
            await asyncio.sleep(FINAL_WAIT_S)
            self._collect_observations(trial, load)
        return self._observations

    async def _perform_steps(self, trial: Trial, load: LoadGenerator) -> None:
        for step in self._scenario.steps:
            wait_s = self._origin + step.at_s - time.time()
            await asyncio.sleep(max(0, wait_s))
            # A slow action must not delay the next step.
            action = self._perform(trial, load, step.action)
            self._background.append(asyncio.create_task(action))

    async def _perform(
        self,
        trial: Trial,
        load: LoadGenerator,
        action: Action,
    ) -> None:
        match action:
            case Kill(name=name):
                await trial.kill(name)
            case Start(name=name) if name.startswith('entry-'):
                await trial.start_host(name)
            case Start(name=name):
                await trial.start_target(name)
            case Stop(name=name):
                # 0, or 1 if requests were left unfinished, or 70 after an
                # internal error.
                exit_code = await trial.stop_host(name)
                self._observations.cut_by_stop += exit_code
            case Freeze(name=name):
                trial.signal(name, signal.SIGSTOP)
            case Thaw(name=name):
                trial.signal(name, signal.SIGCONT)
            case Cut(one=one, other=other, one_way=one_way):
                await self._add_cut(trial, one, other, one_way=one_way)
            case Heal(one=one, other=other):
                self._cuts -= {(one, other), (other, one)}
                self._cut_from_store -= {one, other}
                await self._send_cuts(trial)
            case StoreFault():
                await post(
                    f'{trial.platform_url}/control',
                    {
                        'down': action.down,
                        'slow_ms': int(action.slow_s * 1000),
                        'lose_replies': action.lose_replies,
                    },
                )
            case Operate():
                await self._operate(trial, action)
            case CrashRequest(times=times):
                await self._send_crash_requests(load, times)
            case _:
                await self._change_targets(trial, action)

    async def _add_cut(
        self,
        trial: Trial,
        one: str,
        other: str,
        *,
        one_way: bool,
    ) -> None:
        if other == 'store':
            self._cut_from_store.add(one)
        else:
            self._cuts.add((one, other))
            if not one_way:
                self._cuts.add((other, one))
        await self._send_cuts(trial)

    async def _send_cuts(self, trial: Trial) -> None:
        # Posts are sent one by one: an older one that arrived last would
        # undo a later cut.
        async with self._cuts_lock:
            cuts = [
                {
                    'sender': trial.host(sender).ip,
                    'receiver': trial.host(receiver).ip,
                }
                for sender, receiver in self._cuts
            ]
            await post(f'{trial.links_url}/control', {'cuts': cuts})
            addresses = [trial.host(name).ip for name in self._cut_from_store]
            await post(f'{trial.platform_url}/control', {'cut': addresses})

    async def _operate(self, trial: Trial, action: Operate) -> None:
        hosts = ''
        if action.through:
            hosts = trial.operator_address(action.through)
        code, output = await trial.operate(
            *action.command.split(),
            hosts=hosts,
            operator=action.operator,
        )
        outcome = dict(OPERATOR_OUTCOMES).get(code, output)
        at = time.time() - self._origin
        self._observations.operator_answers.append(
            OperatorAnswer(action.operator, at, outcome, 0),
        )

    async def _send_crash_requests(
        self, load: LoadGenerator, times: int
    ) -> None:
        route = self._layout.configuration.routes[0].name
        body = {'query': 'crash'}
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for _ in range(times):
                await load.send_one(session, route, body, 'crasher', '')
                await asyncio.sleep(1)

    async def _change_targets(
        self,
        trial: Trial,
        action: TargetEvent | TargetVersions | TargetKeys,
    ) -> None:
        names = [action.name]
        if action.name == 'all':
            names = [placed.target.name for placed in self._layout.targets]
        for name in names:
            if getattr(action, 'sign', None) is TargetSign.LISTED:
                self._listed_leaving.add(name)
                await trial.publish_hosts(
                    frozenset(self._listed_leaving),
                    HOST_LIST_LAG_S,
                )
                continue
            address = trial.target(name).target.address
            await post(
                f'http://{address}/control', _build_target_control(action)
            )

    def _collect_observations(self, trial: Trial, load: LoadGenerator) -> None:
        logs = ProcessLogs(self._observations, self._origin)
        for attempt in load.results.attempts:
            self._observations.answers.append(
                Answer(
                    attempt.request_id,
                    attempt.booking,
                    attempt.sent_at - self._origin,
                    attempt.result,
                ),
            )
        for placed in self._layout.targets:
            target = placed.target
            log = trial.folder / f'{target.name}.jsonl'
            logs.collect_target(target.name, target.data_centre, log)
        for host in self._layout.hosts:
            log = trial.folder / f'{host.name}.log'
            logs.collect_revisions(host.name, log)


def _build_target_control(
    action: TargetEvent | TargetVersions | TargetKeys,
) -> Mapping[str, object]:
    match action:
        case TargetVersions(versions=versions):
            return {'versions': versions}
        case TargetKeys():
            return {
                'key_start': action.start,
                'key_end': action.end,
                'partition_revision': action.partition_revision,
            }
        case TargetEvent(sign=TargetSign.RETURNS):
            return {'leaving': False, 'cold': True}
        case TargetEvent(sign=sign):
            return dict(_CONTROL_BY_EVENT)[sign]
