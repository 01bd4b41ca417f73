"""Tests of the age of callers' connections."""

import unittest

from oriolestage.relay._connection_ages import (
    AGE_LIMIT_S,
    SETTLING_S,
    ConnectionAgePolicy,
)


class ConnectionAgePolicyTest(unittest.TestCase):
    """Callers come back to their own hosts after those were away."""

    def test_cases(self) -> None:
        """New connections stay, old ones and those of a start do not."""
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
        """Callers that one host took over are spread again in seconds.

        Twelve callers ask once a second; the balancer gives a new
        connection to the caller's own host if that one is up.
        """
        for mechanism in (True, False):
            ages = ConnectionAgePolicy(0)
            opened = dict.fromkeys(range(12), 0.5)
            away = set(opened)
            for second in range(1, 12):
                for caller in tuple(away):
                    closes = ages.expired(opened[caller], second)
                    if mechanism and closes and second > 2:
                        away.discard(caller)
            with self.subTest(mechanism=mechanism):
                self.assertEqual(bool(away), not mechanism)
