"""Tests of batches to a host that reaches no target."""

import contextlib
import unittest

from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry.tests.peer_requests import (
    make_gather_request,
    start_peer_server,
)
from oriolestage.entry.tests.test_peer_link import ScriptedTargets
from oriolestage.routing._facts import HostRecord
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._run_types import BatchOutcome, SendBatch
from oriolestage.routing.tests.builders import (
    make_group,
    make_placement,
    make_record,
    make_rule,
)
from oriolestage.routing.tests.runs import batches_in, make_run
from oriolestage.routing.tests.test_cut_off_host import (
    NOW,
    make_cut_off_placement,
)

SHARDS = 20
#: Targets that hosts of the other region reach best.
RECORDS = tuple(
    make_record(f't-{shard}', f'shard-{shard}') for shard in range(SHARDS)
)


def _make_run() -> RequestRun:
    """Return a query at a host that knows two hosts in another region."""
    placement, _ = make_placement('dc-b', RECORDS)
    peers = PeerDirectory(placement.location)
    peers.replace_hosts(
        HostRecord(name, 'dc-a', f'{name}:1') for name in ('far-1', 'far-2')
    )
    return make_run(
        make_rule(make_group(SHARDS, min_coverage=1)),
        RECORDS,
        NOW,
        known=placement,
        peers=peers,
    )


class CutOffPeerTest(unittest.IsolatedAsyncioTestCase):
    """A host that is cut off from targets does not stop others' queries.

    Its decline was taken for targets without capacity, so that hosts with a
    path to these targets refused queries.
    """

    async def asyncSetUp(self) -> None:
        """Start the server of a host that reaches no target."""
        self._server, self._address = await start_peer_server(
            make_cut_off_placement(), ScriptedTargets()
        )
        self._client = PeerClient(lambda _: None)

    async def asyncTearDown(self) -> None:
        """Close the client and the server."""
        self._client.close()
        self._server.close()

    async def _reply(self, batch: SendBatch) -> BatchOutcome:
        request = make_gather_request(
            services=tuple(part.service for part in batch.parts),
            regions=tuple(batch.regions),
        )
        gathering = self._client.gather(self._address, request)
        async with contextlib.aclosing(gathering) as replies:
            return await anext(replies)

    async def test_declined_shards_go_to_the_next_host(self) -> None:
        """The shards of the declined batch go to another host there."""
        run = _make_run()
        batch = batches_in(run.start(NOW))[0]
        reply = await self._reply(batch)
        following = batches_in(
            run.on_batch_outcome(batch.batch, reply, NOW + 0.05)
        )
        self.assertEqual(len(following), 1)
        self.assertNotEqual(following[0].peer, batch.peer)
        self.assertEqual(
            {part.service for part in following[0].parts},
            {part.service for part in batch.parts},
        )
