"""Tests of the versions that a host uses for requests of other hosts."""

import unittest

from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.peer_requests import (
    link_patiently,
    make_gather_request,
    make_relay_request,
    start_peer_server,
)
from oriolestage.routing._answers import AttemptAnswered, AttemptOutcome
from oriolestage.routing._version_rules import VersionSplit
from oriolestage.routing.tests.builders import make_answer, make_record
from oriolestage.routing.tests.version_rules import make_ruled_placement

SERVICE = 'shard-0'
RAMP = VersionSplit(frozenset(('v1',)), trial='v2', share=1)


class RecordingTargets:
    """Answers each attempt and keeps the targets and routes."""

    def __init__(self) -> None:
        """Start without attempts."""
        self.calls: list[tuple[str, str]] = []

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Return an answer."""
        self.calls.append((call.target, call.route))
        return AttemptAnswered(make_answer())


class PeerVersionTest(unittest.IsolatedAsyncioTestCase):
    """Only first attempts of other hosts are exposed, by an own draw."""

    async def asyncSetUp(self) -> None:
        """Start a host with a target of each version."""
        self._targets = RecordingTargets()
        records = tuple(
            make_record(version, SERVICE, version=version)
            for version in ('v1', 'v2')
        )
        placement, self._rules = make_ruled_placement(records, RAMP)
        patience = link_patiently()
        patience.__enter__()
        self.addCleanup(patience.__exit__, None, None, None)
        server, self._address = await start_peer_server(
            placement, self._targets
        )
        self._client = PeerClient(lambda _: None)
        self.addCleanup(server.close)
        self.addCleanup(self._client.close)

    async def test_relays(self) -> None:
        """Guards against a repeated request at the version on trial."""
        for repeat in (False, True):
            await self._client.relay(
                self._address, make_relay_request(repeat=repeat)
            )
        self.assertEqual(self._targets.calls, [('v2', 'r'), ('v1', 'r')])
        self.assertEqual(self._rules.drawn, 1)

    async def test_batches(self) -> None:
        """Guards against a repeated shard at the version on trial."""
        for repeat in (False, True):
            request = make_gather_request(services=(SERVICE,), repeat=repeat)
            replies = [
                reply
                async for reply in self._client.gather(self._address, request)
            ]
            self.assertEqual(len(replies), 1)
        self.assertEqual(self._targets.calls, [('v2', 'r'), ('v1', 'r')])
        self.assertEqual(self._rules.drawn, 1)
