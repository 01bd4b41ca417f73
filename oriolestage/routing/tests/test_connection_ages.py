"""Tests of the age of callers' connections."""

import unittest

from oriolestage.routing._connection_ages import (
    AGE_LIMIT_S,
    SETTLING_S,
    ConnectionAgePolicy,
)


class ConnectionAgePolicyTest(unittest.TestCase):
    """Callers return to their own hosts after these were down."""

    def test_cases(self) -> None:
        """Old connections are closed, and all during the start of a host."""
        ages = ConnectionAgePolicy(100)
        settled = 100 + SETTLING_S
        cases = (
            (100, 100.5, True),
            (settled + 1, settled + 2, False),
            (settled + 1, settled + 1 + AGE_LIMIT_S, True),
        )
        for opened_at, now, expected in cases:
            with self.subTest(opened_at=opened_at, now=now):
                self.assertEqual(ages.expired(opened_at, now), expected)

    def test_callers_return(self) -> None:
        """Callers that one host took over are back in less than 12 s.

        Twelve callers send a request per second; the load balancer gives a
        new connection to the caller's own host if that one is up. Without
        the age limit, connections stay at the host that took them over.
        """
        for age_limit in (True, False):
            ages = ConnectionAgePolicy(0)
            opened = dict.fromkeys(range(12), 0.5)
            displaced = set(opened)
            for second in range(1, 12):
                for caller in tuple(displaced):
                    closes = ages.expired(opened[caller], second)
                    if age_limit and closes and second > 2:
                        displaced.discard(caller)
            with self.subTest(age_limit=age_limit):
                self.assertEqual(bool(displaced), not age_limit)
