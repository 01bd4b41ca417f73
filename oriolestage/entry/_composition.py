"""Creates, starts and stops the components of one entry host."""

import asyncio
import dataclasses
import signal
import socket
import time
from collections.abc import Callable, Coroutine

from oriolestage._logging import log_event
from oriolestage.entry._account_checks import AccountChecker
from oriolestage.entry._caller_server import CallerServer
from oriolestage.entry._control_server import ControlServer
from oriolestage.entry._crash_tracking import (
    AttemptSender,
    CrashReporter,
    CrashTrackingSender,
)
from oriolestage.entry._guards import Guards, build_guards
from oriolestage.entry._held_bytes import HeldBytes
from oriolestage.entry._host_metrics import (
    add_quota_metrics,
    add_store_gauges,
    add_target_gauges,
)
from oriolestage.entry._host_parts import (
    build_quotas,
    build_registration,
    build_state,
    build_waiting_line,
)
from oriolestage.entry._host_registration import HostRegistration
from oriolestage.entry._link_checks import check_links
from oriolestage.entry._listening import listen_on
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_server import PeerServer
from oriolestage.entry._planned_stop import PlannedStop
from oriolestage.entry._ports import RolloutStore, Store, WireProtocol
from oriolestage.entry._quota_exchange import QuotaExchange
from oriolestage.entry._reach_probe import ReachProbe
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._rollout_controller import RolloutController
from oriolestage.entry._settings import EntrySettings
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.entry._supervision import keep_running
from oriolestage.entry._target_client import TargetClient
from oriolestage.routing._explanations import explain_request
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._stop_plan import BALANCER_NOTICE_S, StopTimes

#: Timeout for the first read of the store, in seconds. Callers that connect
#: meanwhile wait in the backlog; a read takes about 20 ms.
FIRST_READ_TIMEOUT_S = 0.4

_Work = Callable[[], Coroutine[None, None, None]]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """The components of one entry host."""

    settings: EntrySettings
    metrics: EntryMetrics
    router: RequestRouter
    callers: CallerServer
    control: ControlServer
    follower: StoreFollower
    registration: HostRegistration
    crash_reporter: CrashReporter
    #: None if roll-outs are not enabled.
    rollouts: RolloutController | None
    client: TargetClient
    reach_probe: ReachProbe
    peers: PeerDirectory
    peer_client: PeerClient
    peer_server: PeerServer
    quotas: QuotaExchange
    stopping: asyncio.Event


async def run_entry_host(
    settings: EntrySettings,
    store: RolloutStore,
    wire_protocol: WireProtocol,
    reload: Callable[[], None],
    caller_listener: socket.socket,
) -> int:
    """Run one entry host until a stop signal; return the exit code.

    SIGTERM and SIGINT stop the host, and SIGHUP calls ``reload``.
    ``caller_listener`` is the listening socket for callers. It is served
    after the first read of the store.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.set_exception_handler(_log_loop_error)
    host = _build_host(settings, store, wire_protocol, build_guards(settings))
    background_work: list[tuple[str, _Work]] = [
        ('follow_store', host.follower.run),
        ('expire', host.follower.expire),
        ('register', host.registration.run),
        ('report_crashes', host.crash_reporter.run),
        ('probe_reach', host.reach_probe.run),
        ('quotas', host.quotas.run),
        (
            'links',
            lambda: check_links(host.peers, host.peer_client, host.follower),
        ),
    ]
    if host.rollouts is not None:
        background_work.append(('rollouts', host.rollouts.run))
    tasks = [
        asyncio.create_task(
            keep_running(name, work, host.metrics.record_background_failure)
        )
        for name, work in background_work
    ]
    await _listen(host, caller_listener)
    await stop.wait()
    unfinished = await _drain(host)
    for task in tasks:
        task.cancel()
    await _close(host, store)
    log_event('stopped', {'step': 'stop', 'cut': unfinished})
    return 0


async def _drain(host: EntryHost) -> int:
    """Finish what can end before the host is killed.

    Return the number of requests that were cut.
    """
    times = StopTimes(
        started_at=time.monotonic(),
        grace_s=host.settings.stop_grace_s,
        notice_s=BALANCER_NOTICE_S if host.control.ready else 0,
    )
    host.stopping.set()
    stop = PlannedStop(
        times,
        host.router,
        host.callers,
        host.peer_server.requests,
    )
    withdrawal = asyncio.create_task(host.registration.withdraw())
    cut = await stop.run()
    if not withdrawal.done():
        withdrawal.cancel()
        log_event('registration_not_ended', {'error': 'no time left'})
    return cut


async def _close(host: EntryHost, store: Store) -> None:
    host.peer_server.close()
    host.peer_client.close()
    host.quotas.close()
    host.client.close()
    await host.control.close()
    await store.close()


def _build_host(
    settings: EntrySettings,
    store: RolloutStore,
    wire_protocol: WireProtocol,
    guards: Guards,
) -> EntryHost:
    stopping = asyncio.Event()
    metrics = EntryMetrics()
    state = build_state(settings, metrics, lambda: follower.age_s)
    placement, cluster_state = state.placement, state.cluster_state
    client = TargetClient(wire_protocol, placement, HeldBytes(guards.memory))
    sender: AttemptSender = CrashTrackingSender(client, state.crash_detector)
    if state.rollouts is not None:
        sender = state.rollouts.attach(sender, placement, metrics)
    peer_client = PeerClient(placement.record_leaving)
    follower = StoreFollower(
        store,
        cluster_state,
        placement.directory,
        settings.propagation_limit_s,
    )
    quotas = build_quotas(settings, cluster_state)
    crash_reporter = CrashReporter(store, state.crash_detector)
    router = RequestRouter(
        cluster_state,
        placement,
        state.peers,
        sender,
        state.crash_detector,
        peer_client,
        settings.budget,
        RequestLog(metrics, lambda: follower.age_s),
        AccountChecker(wire_protocol),
        quotas,
        build_waiting_line(metrics),
        crash_reporter.claim_trial,
    )
    metrics.add_gauge('in_flight', lambda: router.in_flight)
    metrics.add_gauge('held_response_bytes', lambda: client.held_bytes)
    guards.add_metrics(metrics)
    add_target_gauges(metrics, placement)
    add_store_gauges(metrics, store, follower, cluster_state)
    add_quota_metrics(metrics, quotas)
    return EntryHost(
        settings=settings,
        metrics=metrics,
        router=router,
        callers=CallerServer(
            router,
            wire_protocol,
            lambda: cluster_state.limits,
            guards.callers,
        ),
        control=ControlServer(
            lambda: cluster_state.table is not None and not stopping.is_set(),
            metrics,
            lambda host, path, account: explain_request(
                cluster_state.table,
                placement,
                host,
                path,
                account,
                time.monotonic(),
            ),
            guards.control,
        ),
        follower=follower,
        registration=build_registration(settings, store, cluster_state),
        crash_reporter=crash_reporter,
        rollouts=(
            None
            if state.rollouts is None
            else state.rollouts.controller(store, placement)
        ),
        client=client,
        reach_probe=ReachProbe(placement, cluster_state, client.probe),
        peers=state.peers,
        peer_client=peer_client,
        peer_server=PeerServer(
            cluster_state,
            placement,
            sender,
            lambda: follower.freshness,
            quotas.answer,
            guards.hosts,
        ),
        quotas=quotas,
        stopping=stopping,
    )


async def _listen(host: EntryHost, caller_listener: socket.socket) -> None:
    """Start all servers, the one for callers last.

    Callers are accepted once the store is read or the read has timed out.
    """
    settings = host.settings
    await host.peer_server.start(listen_on(settings.peer_address))
    await host.control.start(listen_on(settings.ready_address), ready=True)
    await host.control.start(listen_on(settings.metrics_address), ready=False)
    read = await host.follower.wait_first_read(FIRST_READ_TIMEOUT_S)
    await host.callers.start(caller_listener)
    log_event(
        'started',
        {'step': 'start', 'host': settings.location.name, 'store_read': read},
    )


def _log_loop_error(
    _: asyncio.AbstractEventLoop,
    context: dict[str, object],
) -> None:
    """Log an exception that the event loop caught outside awaited code."""
    log_event(
        'loop_error',
        {
            'step': context.get('message', ''),
            'error': repr(context.get('exception')),
        },
    )
