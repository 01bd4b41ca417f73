"""Wires the parts of one entry host."""

import asyncio
import dataclasses
import signal
import socket
import time
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.entry._caller_server import CallerServer
from oriolestage.entry._control_server import ControlServer
from oriolestage.entry._listening import listen_on
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._peer_server import PeerServer
from oriolestage.entry._ports import WireProtocol, Store
from oriolestage.entry._relay import Relay
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._settings import EntrySettings
from oriolestage.entry._store_follower import HostRegistration, StoreFollower
from oriolestage.entry._supervision import keep_running
from oriolestage.entry._target_client import TargetClient
from oriolestage.entry._crash_tracking import CrashReporter, CrashTrackingSender
from oriolestage.relay._beliefs import BeliefChanged
from oriolestage.relay._crash_watch import CrashWatch
from oriolestage.relay._facts import HostRecord
from oriolestage.relay._knowledge import Knowledge
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._placement import Placement
from oriolestage.relay._targets import TargetDirectory

#: Time in which the balancer notices that a host is not ready: two checks a
#: second apart and their answers, in seconds.
NOTICE_S = 2.6
#: Time before the kill at which a stopping host ends, in seconds.
STOP_MARGIN_S = 0.8
#: Longest wait for the first reading of the store, in seconds. Callers that
#: connect meanwhile wait; a reading takes some 20 ms.
FIRST_READ_LIMIT_S = 0.4
#: Time between two looks at the streams to other hosts, in seconds.
LINK_CHECK_S = 0.5
#: Time between two looks at whether a stopping host is done, in seconds.
STOP_CHECK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """The wired parts of one entry host."""

    settings: EntrySettings
    relay: Relay
    callers: CallerServer
    control: ControlServer
    follower: StoreFollower
    registration: HostRegistration
    crash_reporter: CrashReporter
    client: TargetClient
    peers: PeerBook
    peer_client: PeerClient
    peer_server: PeerServer
    stopping: asyncio.Event


async def run_entry_host(
    settings: EntrySettings,
    store: Store,
    wire_protocol: WireProtocol,
    reload: Callable[[], None],
    callers: socket.socket,
) -> int:
    """Run one entry host until it is told to stop; give the exit code.

    ``callers`` listens already; it is served once the store was read.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.set_exception_handler(_log_loop_error)
    host = _wire(settings, store, wire_protocol)
    works = (
        ('follow_store', host.follower.run),
        ('expire', host.follower.expire),
        ('register', host.registration.run),
        ('report_crashes', host.crash_reporter.run),
        ('links', lambda: _keep_links(host)),
    )
    tasks = [
        asyncio.create_task(keep_running(name, work)) for name, work in works
    ]
    await _listen(host, callers)
    await stop.wait()
    left = await _drain(host)
    for task in tasks:
        task.cancel()
    await _close(host, store)
    log_event('stopped', {'step': 'stop', 'cut': left})
    return 0


async def _close(host: EntryHost, store: Store) -> None:
    host.peer_server.close()
    host.peer_client.close()
    await host.client.close()
    await host.control.close()
    await store.close()


def _wire(
    settings: EntrySettings,
    store: Store,
    wire_protocol: WireProtocol,
) -> EntryHost:
    stopping = asyncio.Event()
    metrics = EntryMetrics()
    directory = TargetDirectory()
    placement = Placement(
        settings.place,
        directory,
        settings.warm_up,
        _log_belief,
    )
    peers = PeerBook(settings.place)
    crashes = CrashWatch(_log_belief)
    knowledge = Knowledge(directory, placement, peers, crashes)
    client = TargetClient(wire_protocol)
    targets = CrashTrackingSender(client, crashes)
    peer_client = PeerClient()
    follower = StoreFollower(
        store,
        knowledge,
        directory,
        settings.propagation_limit_s,
    )
    relay = Relay(
        knowledge,
        placement,
        peers,
        targets,
        crashes,
        peer_client,
        settings.budget,
        RequestLog(metrics, lambda: follower.age_s),
    )
    metrics.add_gauge('in_flight', lambda: relay.in_flight)
    metrics.add_gauge('targets', lambda: len(directory))
    metrics.add_gauge('hosts', lambda: len(placement.hosts))
    metrics.add_gauge('store_age_seconds', lambda: follower.age_s)
    metrics.add_gauge(
        'configuration_version',
        lambda: -1 if knowledge.table is None else knowledge.table.version,
    )
    return EntryHost(
        settings=settings,
        relay=relay,
        callers=CallerServer(relay, wire_protocol, lambda: knowledge.limits),
        control=ControlServer(
            lambda: knowledge.table is not None and not stopping.is_set(),
            metrics,
        ),
        follower=follower,
        registration=HostRegistration(
            store,
            HostRecord(
                settings.place.name,
                settings.place.data_centre,
                settings.peer_address,
            ),
        ),
        crash_reporter=CrashReporter(store, crashes),
        client=client,
        peers=peers,
        peer_client=peer_client,
        peer_server=PeerServer(
            knowledge,
            placement,
            targets,
            lambda: follower.freshness,
        ),
        stopping=stopping,
    )


async def _listen(host: EntryHost, callers: socket.socket) -> None:
    """Accept callers once the store was read, or could not be."""
    settings = host.settings
    await host.peer_server.start(listen_on(settings.peer_address))
    await host.control.start(listen_on(settings.ready_address), ready=True)
    await host.control.start(listen_on(settings.metrics_address), ready=False)
    read = await host.follower.wait_first_read(FIRST_READ_LIMIT_S)
    await host.callers.start(callers)
    log_event(
        'started',
        {'step': 'start', 'host': settings.place.name, 'store_read': read},
    )


async def _keep_links(host: EntryHost) -> None:
    """Keep streams to the hosts of other regions open and listen to them."""
    while True:
        addresses = host.peers.far_addresses()
        streams = await host.peer_client.check_links(addresses)
        now = time.monotonic()
        own = host.follower.freshness
        for address, link in streams.items():
            state = host.peers.note_link(address, link, own, now)
            if state is None:
                continue
            known = link.freshness
            log_event(
                f'peer_{state.value}',
                {
                    'step': 'link',
                    'peer': address,
                    'heard_ago_s': now - link.heard_at,
                    'revision': 'unknown' if known is None else known.revision,
                    'own_revision': own.revision,
                    'store_age_s': 'unknown' if known is None else known.age_s,
                },
            )
        await asyncio.sleep(LINK_CHECK_S)


async def _drain(host: EntryHost) -> int:
    """Finish what is in flight; give the number of requests cut off."""
    log_event('stopping', {'step': 'stop', 'in_flight': host.relay.in_flight})
    host.stopping.set()
    host.callers.start_draining()
    asked_at = time.monotonic()
    ends_at = asked_at + host.settings.stop_grace_s - STOP_MARGIN_S
    await host.registration.withdraw()
    while time.monotonic() < ends_at:
        await asyncio.sleep(STOP_CHECK_S)
        noticed = time.monotonic() - asked_at >= NOTICE_S
        if noticed and not host.relay.in_flight:
            break
    left = host.relay.in_flight
    await host.callers.close()
    return left


def _log_belief(change: BeliefChanged) -> None:
    log_event(change.event, dict(change.fields))


def _log_loop_error(
    _: asyncio.AbstractEventLoop,
    context: dict[str, object],
) -> None:
    """Log an error that no task waits for."""
    log_event(
        'loop_error',
        {
            'step': context.get('message', ''),
            'error': repr(context.get('exception')),
        },
    )
