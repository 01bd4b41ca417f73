"""Creates, starts and stops the components of one entry host."""

import asyncio
import dataclasses
import signal
import socket
import time
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.entry._caller_server import CallerServer
from oriolestage.entry._control_server import ControlServer
from oriolestage.entry._crash_tracking import CrashReporter, CrashTrackingSender
from oriolestage.entry._guards import Guards, build_guards
from oriolestage.entry._held_bytes import HeldBytes
from oriolestage.entry._host_registration import HostRegistration
from oriolestage.entry._link_checks import check_links
from oriolestage.entry._listening import listen_on
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_server import PeerServer
from oriolestage.entry._planned_stop import PlannedStop
from oriolestage.entry._ports import Store, WireProtocol
from oriolestage.entry._reach_probe import ReachProbe
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._settings import EntrySettings
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.entry._store_metrics import add_store_metrics
from oriolestage.entry._supervision import keep_running
from oriolestage.entry._target_client import TargetClient
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._crash_detector import CrashDetector
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._state_changes import StateChange
from oriolestage.routing._stop_plan import BALANCER_NOTICE_S, StopTimes
from oriolestage.routing._targets import TargetDirectory

#: Timeout for the first read of the store, in seconds. Callers that connect
#: meanwhile wait in the backlog; a read takes about 20 ms.
FIRST_READ_TIMEOUT_S = 0.4


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
    client: TargetClient
    reach_probe: ReachProbe
    peers: PeerDirectory
    peer_client: PeerClient
    peer_server: PeerServer
    stopping: asyncio.Event


async def run_entry_host(
    settings: EntrySettings,
    store: Store,
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
    background_work = (
        ('follow_store', host.follower.run),
        ('expire', host.follower.expire),
        ('register', host.registration.run),
        ('report_crashes', host.crash_reporter.run),
        ('probe_reach', host.reach_probe.run),
        (
            'links',
            lambda: check_links(host.peers, host.peer_client, host.follower),
        ),
    )
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
    host.client.close()
    await host.control.close()
    await store.close()


def _build_host(
    settings: EntrySettings,
    store: Store,
    wire_protocol: WireProtocol,
    guards: Guards,
) -> EntryHost:
    stopping = asyncio.Event()
    metrics = EntryMetrics()
    directory = TargetDirectory()
    placement = Placement(
        settings.location,
        directory,
        settings.warm_up,
        _log_change,
    )
    peers = PeerDirectory(settings.location)
    crash_detector = CrashDetector(_log_change)
    cluster_state = ClusterState(directory, placement, peers, crash_detector)
    client = TargetClient(wire_protocol, placement, HeldBytes(guards.memory))
    sender = CrashTrackingSender(client, crash_detector)
    peer_client = PeerClient(placement.record_leaving)
    follower = StoreFollower(
        store,
        cluster_state,
        directory,
        settings.propagation_limit_s,
    )
    router = RequestRouter(
        cluster_state,
        placement,
        peers,
        sender,
        crash_detector,
        peer_client,
        settings.budget,
        RequestLog(metrics, lambda: follower.age_s),
    )
    metrics.add_gauge('in_flight', lambda: router.in_flight)
    metrics.add_gauge('held_response_bytes', lambda: client.held_bytes)
    guards.add_metrics(metrics)
    metrics.add_gauge('targets', lambda: len(directory))
    metrics.add_gauge(
        'cut_off', lambda: int(placement.observations.reach.cut_off)
    )
    metrics.add_gauge(
        'rate_limited_targets', lambda: placement.rates.limited_count
    )
    metrics.add_gauge('hosts', lambda: len(placement.hosts))
    add_store_metrics(metrics, store, follower, cluster_state)
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
            guards.control,
        ),
        follower=follower,
        registration=_build_registration(settings, store, cluster_state),
        crash_reporter=CrashReporter(store, crash_detector),
        client=client,
        reach_probe=ReachProbe(placement, client.try_connect),
        peers=peers,
        peer_client=peer_client,
        peer_server=PeerServer(
            cluster_state,
            placement,
            sender,
            lambda: follower.freshness,
            guards.hosts,
        ),
        stopping=stopping,
    )


def _build_registration(
    settings: EntrySettings, store: Store, cluster_state: ClusterState
) -> HostRegistration:
    record = HostRecord(
        settings.location.name,
        settings.location.data_centre,
        settings.peer_address,
    )
    return HostRegistration(
        store, record, lambda: cluster_state.hosts.lists(record)
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


def _log_change(change: StateChange) -> None:
    log_event(change.event, dict(change.fields))


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
