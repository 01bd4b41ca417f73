"""Tests of when the refusals of a slow host leave."""

import asyncio
import time
from unittest import TestCase

from oriolestage.admission._accounts import (
    NO_ACCOUNTS,
    Account,
    AccountDirectory,
)
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._ports import RequestMetadata
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.account_checks import (
    KnownAccounts,
    make_unused_quotas,
)
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.routing._answers import AttemptOutcome, Refused
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._facts import ConfigurationStored
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._rules import CallerLimits, build_table
from oriolestage.routing._target_capacity import QUEUED_LIMIT
from oriolestage.routing.tests.builders import (
    make_crash_detector,
    make_placement,
    make_record,
    make_rule,
)

#: Refusals are limited in time while there are accounts.
ACCOUNTS = AccountDirectory({Account('kiosks'): ('key',)})
OBJECTIVE_S = 0.4
QUARTER_S = OBJECTIVE_S / 4
NETWORK_DELAY_S = 0.01
#: Time for which the event loop is busy when a refusal is due, in seconds.
BUSY_S = 0.03


class NoTargets:
    """Fails if an attempt is sent."""

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Raise an error, since all targets are full."""
        raise AssertionError(call.target)


def _make_router(accounts: AccountDirectory = ACCOUNTS) -> RequestRouter:
    """Return a router whose only target is full."""
    placement, directory = make_placement(records=(make_record(),))
    for target in directory.all_targets():
        for attempt in range(target.record.slots + QUEUED_LIMIT):
            placement.record_sent(target, 1000 + attempt, 0)
    peers = PeerDirectory(placement.location)
    detector = make_crash_detector()
    state = ClusterState(directory, placement, peers, detector)
    rule = make_rule(objective_s=OBJECTIVE_S)
    table = build_table(1, (rule,), (), CallerLimits(), accounts)
    state.apply(ConfigurationStored(table), 0)
    return RequestRouter(
        state,
        placement,
        peers,
        NoTargets(),
        detector,
        PeerClient(lambda _: None),
        BudgetBounds(),
        RequestLog(EntryMetrics(), float),
        KnownAccounts(),
        make_unused_quotas(),
    )


async def _refuse_on_busy_host(
    loop: VirtualTimeLoop, accounts: AccountDirectory = ACCOUNTS
) -> list[float]:
    """Return the times after which three refusals have left.

    Each time the host is busy from just before the refusal is due.
    """
    router = _make_router(accounts)
    left: list[float] = []
    due_s = QUARTER_S - NETWORK_DELAY_S
    for _ in range(3):
        loop.call_later(due_s - BUSY_S / 3, loop.stay_busy, BUSY_S)
        arrived_at = time.monotonic()
        result = await router.serve(
            CallerRequest(
                metadata=RequestMetadata('a', 1.0),
                method='GET',
                host='search.example',
                path='/rota/a',
                headers=(),
                body=b'',
                arrived_at=arrived_at,
                network_delay_s=NETWORK_DELAY_S,
                fingerprint=1,
            ),
        )
        assert isinstance(result, Refused)
        left.append(time.monotonic() - arrived_at)
        # The overrun is recorded once the refusal is written.
        await asyncio.sleep(0)
    return left


class SlowHostTest(TestCase):
    """A host that decides late refuses earlier from then on."""

    def test_overrun_is_learned(self) -> None:
        """Guards against refusals that are all late on a slow host."""
        loop = VirtualTimeLoop()
        first_s, *others = run_in_virtual_time(loop, _refuse_on_busy_host(loop))
        latest_s = QUARTER_S - NETWORK_DELAY_S
        self.assertGreater(first_s, latest_s)
        for left_s in others:
            self.assertLessEqual(left_s, latest_s)

    def test_without_accounts(self) -> None:
        """Guards against other refusals where there are no accounts.

        Only the wait for a free target is limited there, as before: to a
        quarter of the rest of the objective.
        """
        loop = VirtualTimeLoop()
        waits = run_in_virtual_time(
            loop, _refuse_on_busy_host(loop, NO_ACCOUNTS)
        )
        wait_s = (OBJECTIVE_S - NETWORK_DELAY_S) / 4
        for waited_s in waits:
            self.assertGreaterEqual(waited_s, wait_s)
