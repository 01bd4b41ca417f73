"""Replays of the requests of one account at fleets of several sizes."""

import types
import unittest
from collections.abc import Mapping
from unittest.mock import patch

from oriolestage.admission._accounts import Account
from oriolestage.admission.tests.quota_replay import (
    BOUNDS,
    Failure,
    QuotaReplay,
    make_arrivals,
)

FLEETS = (1, 6, 75, 300)
#: A large account, and one whose limit is below the room above it.
LARGE = Account('large', rate=13, burst=13)
SMALL = Account('small', rate=1, burst=1)
UNTIL = 20.0
SEEDS = (1, 2, 3)
#: Hosts that the connections of one account go to at most.
PLACES = 12
FAILURES: Mapping[str, Failure] = types.MappingProxyType(
    {
        'none': Failure(),
        'links cut': Failure(cut_at=8),
        'owner killed': Failure(owner_killed_at=8),
    },
)


def _bound(account: Account) -> float:
    allowed = account.rate * BOUNDS.window_s + account.burst
    return allowed * (1 + BOUNDS.overage) + BOUNDS.slack


class QuotaReplayTest(unittest.TestCase):
    """All hosts together keep the limit of an account, and use it."""

    def test_bound(self) -> None:
        """Guards against a limit that many hosts exceed together.

        The account sends eight times its limit to many hosts; the messages
        take 20 ms, all links are cut, or the owner is killed.
        """
        for hosts in FLEETS:
            places = range(min(hosts, PLACES))
            for account in (LARGE, SMALL):
                for seed in SEEDS:
                    arrivals = make_arrivals(
                        8 * account.rate, places, UNTIL, seed
                    )
                    for name, failure in FAILURES.items():
                        replay = QuotaReplay(hosts, account, failure)
                        outcome = replay.run(arrivals, UNTIL)
                        with self.subTest(
                            hosts=hosts,
                            account=account.name,
                            failure=name,
                            seed=seed,
                        ):
                            self.assertLessEqual(
                                outcome.most_in_window(), _bound(account)
                            )

    def test_bound_at_all_hosts(self) -> None:
        """Guards against one request at each host that nobody has counted.

        The account sends eight times its limit, evenly to all hosts.
        """
        for hosts in FLEETS[2:]:
            for account in (LARGE, SMALL):
                arrivals = make_arrivals(
                    8 * account.rate, range(hosts), UNTIL, 1
                )
                outcome = QuotaReplay(hosts, account).run(arrivals, UNTIL)
                with self.subTest(hosts=hosts, account=account.name):
                    self.assertLessEqual(
                        outcome.most_in_window(), _bound(account)
                    )

    def test_red_without_count(self) -> None:
        """The replay fails if the owner counts nothing."""
        arrivals = make_arrivals(8 * LARGE.rate, range(PLACES), UNTIL, 1)
        with patch(
            'oriolestage.admission._quota_ledger._Book.closed_s',
            return_value=0,
        ):
            outcome = QuotaReplay(75, LARGE).run(arrivals, UNTIL)
        self.assertGreater(outcome.most_in_window(), _bound(LARGE))

    def test_inside_limit(self) -> None:
        """Guards against refusals of an account that keeps its limit.

        It sends at 0.6 of its limit, to one host or to several, and moves
        from one to the other.
        """
        for hosts in FLEETS:
            for account in (LARGE, SMALL):
                for places in (1, min(hosts, 5)):
                    rate = 0.6 * account.rate
                    arrivals = make_arrivals(rate, range(places), UNTIL, 4)
                    moved = [
                        arrival
                        if arrival.at < UNTIL / 2
                        else type(arrival)(arrival.at, hosts - 1)
                        for arrival in arrivals
                    ]
                    for requests in (arrivals, moved):
                        outcome = QuotaReplay(hosts, account).run(
                            requests, UNTIL
                        )
                        with self.subTest(hosts=hosts, account=account.name):
                            self.assertLessEqual(
                                len(outcome.refused_at), 0.02 * len(requests)
                            )
                            self.assertLessEqual(
                                outcome.waited, 0.2 * len(requests)
                            )

    def test_usable_share(self) -> None:
        """Guards against a limit of which a part is lost to its division."""
        for hosts in FLEETS:
            places = range(min(hosts, PLACES))
            arrivals = make_arrivals(3 * LARGE.rate, places, UNTIL, 5)
            outcome = QuotaReplay(hosts, LARGE).run(arrivals, UNTIL)
            with self.subTest(hosts=hosts):
                used = len(outcome.admitted_at) / (LARGE.rate * UNTIL)
                self.assertGreaterEqual(used, 0.95)

    def test_deputy(self) -> None:
        """Guards against an account without service while its owner is down.

        The deputies' part is enough for the small account.
        """
        for hosts in FLEETS[1:]:
            failure = Failure(owner_killed_at=8)
            replay = QuotaReplay(hosts, SMALL, failure)
            place = next(
                number
                for number, name in enumerate(replay.names)
                if name != replay.owner
            )
            arrivals = make_arrivals(0.6, (place,), UNTIL, 6)
            outcome = replay.run(arrivals, UNTIL)
            with self.subTest(hosts=hosts):
                self.assertLessEqual(
                    len(outcome.refused_at), 0.25 * len(arrivals)
                )
