"""The composition root: builds the daemon, runs it and drains it."""

import asyncio
import dataclasses
import random
import signal
import socket
import time

import aiomisc
import pynng

from oriolestage._logging import log_event
from oriolestage.core import Identity, NodeCore, Parameters
from oriolestage.daemon._caller_metrics import CallerMetrics
from oriolestage.daemon._caller_server import CallerServer
from oriolestage.daemon._core_service import CoreService
from oriolestage.daemon._data_links import DataLinks, DataListener
from oriolestage.daemon._events import Event, Inbox, StopRequested
from oriolestage.daemon._failure_log import FailureLog
from oriolestage.daemon._gossip import GossipListener, GossipSender
from oriolestage.daemon._operator_server import OperatorServer
from oriolestage.daemon._settings import (
    Settings,
    SettingsError,
    parse_duration,
)
from oriolestage.daemon._store_client import StoreClient
from oriolestage.daemon._target_client import TargetClient

#: Exit code after a stop that left requests unfinished.
EXIT_CUT = 1
#: Exit code after an internal error.
EXIT_FAILED = 70
#: Length of the queue of connections waiting to be accepted.
BACKLOG = 1024
#: Interval between checks whether a stopping host is drained, in seconds.
DRAIN_POLL_INTERVAL_S = 0.05
#: Time for the last replies to be sent after the drain, in seconds.
REPLY_FLUSH_TIME_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """The components of one daemon."""

    core: NodeCore
    inbox: Inbox
    core_service: CoreService
    callers: CallerServer
    services: tuple[aiomisc.Service, ...]
    #: How long the load balancer is given to notice that this host is not
    #: ready.
    stop_notice_s: float
    #: Time limit after that for requests in flight to finish.
    stop_deadline_s: float


async def run_daemon(settings: Settings) -> int:
    """Run the daemon until SIGTERM, SIGINT or a failure of the core.

    Return the exit code. Raise :class:`SettingsError` if an address cannot
    be bound.
    """
    daemon = _build_daemon(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with aiomisc.entrypoint(
        *daemon.services,
        catch_signals=(),
        log_config=False,
    ):
        log_event('started', {'step': 'start', 'host': settings.name})
        stop_task = asyncio.create_task(stop_requested.wait())
        failure_task = asyncio.create_task(
            daemon.core_service.wait_for_failure()
        )
        await asyncio.wait(
            (stop_task, failure_task),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if failure_task.done():
            log_event(
                'failed', {'step': 'core', 'error': failure_task.result()}
            )
            return EXIT_FAILED
        unfinished = await _drain(daemon, stop_requested)
    log_event(
        'stopped', {'step': 'stop', 'host': settings.name, 'cut': unfinished}
    )
    return EXIT_CUT if unfinished else 0


async def _drain(daemon: Daemon, stop_requested: asyncio.Event) -> int:
    """Drain the daemon; return the number of requests left unfinished.

    A second signal ends the drain early.
    """
    stop_requested.clear()
    loop = asyncio.get_running_loop()
    daemon.inbox.put_nowait(StopRequested())
    notice_until = loop.time() + daemon.stop_notice_s
    deadline = notice_until + daemon.stop_deadline_s
    log_event(
        'stopping',
        {
            'step': 'stop',
            'in_flight': daemon.core.requests_in_flight,
            'notice_s': daemon.stop_notice_s,
            'deadline_s': daemon.stop_deadline_s,
        },
    )
    daemon.callers.start_draining(deadline)
    site = daemon.callers.site
    while loop.time() < deadline and not stop_requested.is_set():
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        if loop.time() < notice_until:
            continue
        await site.close_idle()
        if daemon.core.drained and not site.connection_count:
            break
    unfinished = max(daemon.core.requests_in_flight, site.open_requests)
    await asyncio.sleep(REPLY_FLUSH_TIME_S)
    return unfinished


def _build_daemon(settings: Settings) -> Daemon:
    inbox: asyncio.Queue[Event] = asyncio.Queue()
    core = NodeCore(
        identity=Identity(
            name=settings.name,
            gossip_address=settings.advertise_gossip or settings.listen.gossip,
            data_address=settings.advertise_data or settings.listen.data,
            data_centre=settings.data_centre,
            incarnation=int(time.time() * 1000),
        ),
        parameters=Parameters(
            freshness_limit_s=parse_duration(
                settings.freshness_limit,
                'freshness_limit',
            ),
        ),
        randomness=random.Random(),
        now=asyncio.get_running_loop().time(),
        seeds=settings.seeds,
    )
    source_ip = settings.listen.data.rsplit(':', 1)[0]
    failures = FailureLog()
    metrics = CallerMetrics(core, failures)
    links = DataLinks(source_ip, inbox, failures)
    gossip_listener = GossipListener(settings.listen.gossip, inbox, failures)
    try:
        gossip_listener.bind()
    except pynng.NNGException as error:
        raise SettingsError(
            f'{settings.listen.gossip}: {error} - at `$.listen.gossip`',
        ) from error
    core_service = CoreService(
        core=core,
        inbox=inbox,
        gossip=GossipSender(source_ip, failures),
        links=links,
        targets=TargetClient(source_ip, inbox),
        store=StoreClient(
            settings.platform.store,
            settings.platform.host_list,
            source_ip,
            parse_duration(settings.platform.timeout, 'platform.timeout'),
            inbox,
            failures,
        ),
        failures=failures,
    )
    data_listener = DataListener(
        _open_listener(settings.listen.data, 'listen.data'),
        inbox,
        failures,
    )
    operators = OperatorServer(
        _open_listener(settings.listen.operators, 'listen.operators'),
        inbox,
        metrics,
        failures,
    )
    callers = CallerServer(
        _open_listener(settings.listen.callers, 'listen.callers'),
        settings.body_limit,
        core,
        inbox,
        metrics,
        failures,
    )
    return Daemon(
        core=core,
        inbox=inbox,
        core_service=core_service,
        callers=callers,
        services=(
            core_service,
            gossip_listener,
            data_listener,
            operators,
            callers,
        ),
        stop_notice_s=parse_duration(settings.stop.notice, 'stop.notice'),
        stop_deadline_s=parse_duration(
            settings.stop.deadline,
            'stop.deadline',
        ),
    )


def _open_listener(address: str, key: str) -> socket.socket:
    host, port = address.rsplit(':', 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        raise SettingsError(
            f'{address}: {error.strerror} - at `$.{key}`',
        ) from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
