"""Builders of messages between hosts and of the server that gets them."""

import contextlib
import socket
from collections.abc import Callable
from unittest.mock import patch

from oriolestage.entry import _peer_link
from oriolestage.entry._crash_tracking import AttemptSender
from oriolestage.entry._peer_messages import GatherRequest, RelayRequest
from oriolestage.entry._peer_server import PeerServer
from oriolestage.entry._quota_wire import QuotaMessage, QuotaVerdicts
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._placement import Placement
from oriolestage.routing._state_changes import Freshness
from oriolestage.routing.tests.builders import make_crash_detector

#: Time for opening a stream, in seconds. A host that a paused machine does not
#: reach would give another outcome than its reply.
CONNECT_TIMEOUT_S = 10.0
#: Time that a request has, in seconds. It lies beyond the limits of the tests,
#: so that a request that only its deadline ends fails them.
TIME_LEFT_S = 60.0
SERVICES = tuple(f'shard-{number}' for number in range(4))


def make_gather_request(**changes: object) -> GatherRequest:
    """Return a request for four shards, with changed fields."""
    fields: dict[str, object] = {
        'number': 0,
        'request_id': 'a',
        'route': 'r',
        'method': 'GET',
        'path': '/x',
        'headers': (),
        'body': b'asked',
        'services': SERVICES,
        'regions': (),
        'top_records': 2,
        'merged': True,
        'floor': b'',
        'late_s': 0.2,
        'work_s': 0.01,
        'time_left_s': TIME_LEFT_S,
        **changes,
    }
    return GatherRequest(**fields)  # type: ignore[arg-type]


def make_relay_request(**changes: object) -> RelayRequest:
    """Return a request to a single service, with changed fields."""
    fields: dict[str, object] = {
        'number': 0,
        'request_id': 'a',
        'route': 'r',
        'service': 'shard-0',
        'method': 'POST',
        'path': '/x',
        'headers': (),
        'body': b'asked',
        'regions': (),
        'repeatable': False,
        'time_left_s': TIME_LEFT_S,
        **changes,
    }
    return RelayRequest(**fields)  # type: ignore[arg-type]


def link_patiently() -> contextlib.AbstractContextManager[object]:
    """Give hosts time to open streams, even on a busy machine."""
    return patch.object(_peer_link, 'CONNECT_TIMEOUT_S', CONNECT_TIMEOUT_S)


def _no_verdicts(_: QuotaMessage) -> QuotaVerdicts | None:
    """Count nothing."""


async def start_peer_server(
    placement: Placement,
    sender: AttemptSender,
    answer_quotas: Callable[
        [QuotaMessage], QuotaVerdicts | None
    ] = _no_verdicts,
) -> tuple[PeerServer, str]:
    """Start a server on loopback; return it and its address."""
    cluster_state = ClusterState(
        placement.directory,
        placement,
        PeerDirectory(placement.location),
        make_crash_detector(),
    )
    server = PeerServer(
        cluster_state,
        placement,
        sender,
        lambda: Freshness(revision=7, age_s=0.5),
        answer_quotas,
    )
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setblocking(False)
    await server.start(listener)
    return server, f'127.0.0.1:{listener.getsockname()[1]}'
