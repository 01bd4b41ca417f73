"""Tests of when a query is answered."""

import asyncio
import time
import unittest

from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._ports import RequestMetadata
from oriolestage.entry._relay import Relay
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._target_client import TargetCall
from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptOutcome,
    Gathered,
)
from oriolestage.relay._extra_budget import BudgetBounds
from oriolestage.relay._facts import ConfigurationStored
from oriolestage.relay._knowledge import Knowledge
from oriolestage.relay._peers import PeerBook
from oriolestage.relay._rules import CallerLimits, build_table
from oriolestage.relay.tests.builders import (
    make_answer,
    make_crash_watch,
    make_group,
    make_placement,
    make_record,
    make_rule,
)

OBJECTIVE_S = 0.3
WAY_S = 0.1


class OneSilentTarget:
    """All targets answer at once, but for one that never does."""

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Answer an attempt."""
        if call.target == 't-1':
            await asyncio.Event().wait()
        return AttemptAnswered(make_answer(signature=call.target))


class CutOffTest(unittest.IsolatedAsyncioTestCase):
    """An answer with enough shards reaches its caller in time."""

    async def test_way_is_kept_back(self) -> None:
        """The caller's way counts against the objective."""
        records = tuple(
            make_record(f't-{shard}', f'shard-{shard}') for shard in range(4)
        )
        placement, directory = make_placement(records=records)
        peers = PeerBook(placement.place)
        crash_detector = make_crash_watch()
        cluster_state = Knowledge(directory, placement, peers, crash_detector)
        rule = make_rule(make_group(4, 0.7), objective_s=OBJECTIVE_S)
        table = build_table(1, (rule,), (), CallerLimits())
        cluster_state.apply(ConfigurationStored(table), 0)
        relay = Relay(
            cluster_state,
            placement,
            peers,
            OneSilentTarget(),
            crash_detector,
            PeerClient(),
            BudgetBounds(),
            RequestLog(EntryMetrics(), float),
        )
        arrived_at = time.monotonic()
        verdict = await relay.serve(
            CallerRequest(
                metadata=RequestMetadata('a', 1.0),
                method='GET',
                host='search.example',
                path='/rota/a',
                headers=(('Host', 'search.example'),),
                body=b'',
                arrived_at=arrived_at,
                network_delay_s=WAY_S,
                fingerprint=1,
            ),
        )
        took_s = time.monotonic() - arrived_at
        assert isinstance(verdict, Gathered)
        self.assertEqual(verdict.missing, 1)
        self.assertLess(took_s, OBJECTIVE_S - WAY_S)
        # It is not given much earlier either: the shard may yet come.
        self.assertGreater(took_s, (OBJECTIVE_S - WAY_S) / 2)
