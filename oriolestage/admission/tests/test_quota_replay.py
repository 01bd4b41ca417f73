"""Tests of quotas over many hosts, with a delay of messages and failures."""

import unittest
from unittest.mock import patch

from oriolestage.admission._accounts import Account
from oriolestage.admission._quota_client import QuotaClient
from oriolestage.admission.tests.quota_failures import (
    CROWD,
    FAILURES,
    MENDED_AT,
    STEADY,
    cut_all_links,
    cut_one_way,
    lose_power,
)
from oriolestage.admission.tests.quota_replay import LOAD_START_S, QuotaReplay

#: Numbers of hosts.
SIZES = (1, 6, 75, 300)
#: Rates and bursts of accounts, in requests per second and requests.
LIMITS = ((0.5, 1), (2, 4), (10, 0), (10, 40), (40, 20))
#: Limits are 1.6 times the usual load; a crowd sends 8 times that load.
CROWD_LOAD = 5.0
STEADY_LOAD = 0.9
#: Time at which the steady account moves to another host, and the end of the
#: load, in seconds.
MOVE_AT = 20.0
END = 30.0
#: End of the load of replays with a failure, and the time from which it has no
#: effect: after the longest retention of tokens and a full window.
LATE_END = 40.0
RECOVERED_AT = MENDED_AT + 10
#: Least part of a limit that can be used.
USABLE = 0.97
SEEDS = range(2)


def _make_replay(
    hosts: int, limit: tuple[float, float], seed: int, end: float
) -> QuotaReplay:
    """Return a fleet with both kinds of load."""
    rate, burst = limit
    accounts = [
        Account(name, rate=rate, burst=burst) for name in (CROWD, STEADY)
    ]
    replay = QuotaReplay(hosts, accounts, seed)
    names = sorted(replay.regions)
    replay.load(CROWD, CROWD_LOAD * rate, names, LOAD_START_S, end)
    steady = STEADY_LOAD * rate
    replay.load(STEADY, steady, names[:1], LOAD_START_S, MOVE_AT, shaped=True)
    replay.load(STEADY, steady, names[-1:], MOVE_AT, end, shaped=True)
    return replay


class QuotaReplayTest(unittest.TestCase):
    """The limit holds for all hosts together, and can be used."""

    def test_without_failure(self) -> None:
        """Guards against refusals inside a limit and requests beyond it.

        One account sends far too much through all hosts. Another sends 0.9 of
        its limit through one host, and then through another one.
        """
        for hosts in SIZES:
            for limit in LIMITS:
                with self.subTest(hosts=hosts, limit=limit):
                    replay = _make_replay(hosts, limit, 0, END)
                    replay.run(END + 1)
                    for account in (CROWD, STEADY):
                        excess = replay.largest_excess(account)
                        self.assertLessEqual(excess, 0)
                    used = replay.count(CROWD, 0, END, admitted=True)
                    usable = limit[0] * (END - LOAD_START_S)
                    self.assertGreaterEqual(used, USABLE * usable)
                    refused = replay.count(STEADY, 0, END, admitted=False)
                    self.assertEqual(refused, 0)

    def test_failures(self) -> None:
        """Guards against tokens that failures double.

        Afterwards, callers inside their limit are served again.
        """
        for number, fail in enumerate(FAILURES):
            for limit in LIMITS:
                with self.subTest(fail=fail.__name__, limit=limit):
                    self._check_failure(fail, 6, limit)
            limit = LIMITS[number % len(LIMITS)]
            with self.subTest(fail=fail.__name__, hosts=75, limit=limit):
                self._check_failure(fail, 75, limit)

    def test_many_hosts(self) -> None:
        """Guards against bounds that hold for few hosts only."""
        for fail in (cut_one_way, lose_power):
            with self.subTest(fail=fail.__name__):
                self._check_failure(fail, 300, (10, 40))

    def test_load_is_excessive(self) -> None:
        """The replay sees requests beyond the bound if hosts admit all."""

        def admit(client: QuotaClient, account: str, now: float) -> object:
            return client.admit_without_contact(account, now)

        with (
            patch.object(QuotaClient, '_fixed_share', return_value=1 << 30),
            patch.object(QuotaClient, 'admit', admit),
        ):
            replay = _make_replay(6, (10, 0), 0, END)
            replay.run(END + 1)
        self.assertGreater(replay.largest_excess(CROWD), 0)

    def test_cut_off_hosts_share(self) -> None:
        """Guards against hosts that refuse all requests while cut off.

        Together they may use a part of the limit without any contact.
        """
        replay = _make_replay(6, (2, 4), 0, END)
        cut_all_links(replay)
        replay.run(MENDED_AT)
        cut_off_s = 2.0
        admitted = replay.count(
            CROWD, MENDED_AT - cut_off_s, MENDED_AT, admitted=True
        )
        self.assertGreater(admitted, 0)

    def _check_failure(
        self,
        fail: object,
        hosts: int,
        limit: tuple[float, float],
    ) -> None:
        assert callable(fail)
        for seed in SEEDS:
            replay = _make_replay(hosts, limit, seed, LATE_END)
            fail(replay)
            replay.run(LATE_END + 1)
            for account in (CROWD, STEADY):
                excess = replay.largest_excess(account)
                self.assertLessEqual(excess, 0, seed)
            refused = replay.count(
                STEADY, RECOVERED_AT, LATE_END, admitted=False
            )
            self.assertEqual(refused, 0, seed)
