"""Tests of a caller whose requests crash targets, beside another caller."""

import itertools
import time
import unittest

from oriolestage.admission._accounts import Account, AccountDirectory
from oriolestage.entry._account_checks import AccountChecker
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._crash_tracking import CrashTrackingSender
from oriolestage.entry._metrics import EntryMetrics
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._ports import RequestMetadata
from oriolestage.entry._request_log import RequestLog
from oriolestage.entry._request_router import RequestRouter
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.account_checks import make_unused_quotas
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptOutcome,
    Delivered,
    RequestResult,
)
from oriolestage.routing._cluster_state import ClusterState
from oriolestage.routing._crash_detector import fingerprint_of
from oriolestage.routing._facts import (
    ConfigurationStored,
    TargetRemoved,
    TargetStored,
)
from oriolestage.routing._peers import PeerDirectory
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._rules import CallerLimits, build_table
from oriolestage.routing.tests.builders import (
    make_answer,
    make_crash_detector,
    make_placement,
    make_record,
    make_rule,
)

CRASHING = 'ferry'
OTHER = 'harbour'
#: Header in which targets learn the account.
ACCOUNT_HEADER = ('Tenant', CRASHING)
TARGETS = 4
REPETITIONS = 20
#: Targets that one request may crash before it is refused.
CRASHES_ALLOWED = 3
PATH = '/rota/today'


class _CrashingTargets:
    """Crash with the requests of one account; answer all others."""

    def __init__(self) -> None:
        self.crashed: list[str] = []

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Break the connection of a request that crashes targets."""
        if ACCOUNT_HEADER not in call.headers:
            return AttemptAnswered(make_answer())
        self.crashed.append(call.target)
        return AttemptLost('target.ClientOSError', broken=True)


class CrashingCallerTest(unittest.IsolatedAsyncioTestCase):
    """A request that crashes targets is that of one caller."""

    def setUp(self) -> None:
        """Create a router with accounts and targets of one service."""
        records = tuple(make_record(f't-{number}') for number in range(TARGETS))
        placement, directory = make_placement(records=records)
        peers = PeerDirectory(placement.location)
        self._targets = _CrashingTargets()
        self._new_targets = itertools.count(TARGETS)
        detector = make_crash_detector()
        self._state = ClusterState(directory, placement, peers, detector)
        accounts = AccountDirectory(
            {Account(name): (name,) for name in (CRASHING, OTHER)}
        )
        rule = make_rule(max_attempts=1)
        table = build_table(1, (rule,), (), CallerLimits(), accounts)
        self._state.apply(ConfigurationStored(table), 0)
        self._router = RequestRouter(
            self._state,
            placement,
            peers,
            CrashTrackingSender(self._targets, detector),
            detector,
            PeerClient(lambda _: None),
            BudgetBounds(),
            RequestLog(EntryMetrics(), float),
            AccountChecker(PlatformWireProtocol()),
            make_unused_quotas(),
        )

    async def _serve(
        self, caller: str, method: str, body: bytes
    ) -> RequestResult:
        host = 'search.example'
        return await self._router.serve(
            CallerRequest(
                metadata=RequestMetadata('a', 1.0),
                method=method,
                host=host,
                path=PATH,
                headers=(('Host', host), ('Authorization', f'Bearer {caller}')),
                body=body,
                arrived_at=time.monotonic(),
                network_delay_s=0,
                fingerprint=fingerprint_of(method, host, PATH, body),
            ),
        )

    def _replace_crashed(self) -> None:
        """Have the entries of crashed targets go, and new ones come."""
        for crashed in self._targets.crashed:
            now = time.monotonic()
            self._state.apply(TargetRemoved(crashed), now)
            record = make_record(f't-{next(self._new_targets)}')
            self._state.apply(TargetStored(record), now)

    async def test_other_caller_answered(self) -> None:
        """Guards against crashes that another caller's answers excuse.

        Each answer to the same path and body cleared the request that crashed
        targets, so that it was never refused.
        """
        for method, body in (('GET', b''), ('POST', b'{}')):
            self.setUp()
            for _ in range(REPETITIONS):
                await self._serve(CRASHING, method, body)
                answered = await self._serve(OTHER, method, body)
                self.assertIsInstance(answered, Delivered)
                self._replace_crashed()
            with self.subTest(method=method):
                crashed = len(self._targets.crashed)
                self.assertGreater(crashed, 0)
                self.assertLessEqual(crashed, CRASHES_ALLOWED)
