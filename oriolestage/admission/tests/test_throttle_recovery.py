"""Tests of a throttle whose service has room again."""

import random
from unittest import TestCase

from oriolestage.admission._fair_throttle import FairThrottle
from oriolestage.admission.tests.builders import make_rank

#: Requests per second of the only account.
RATE = 20
#: Time in which the service turns all requests away, in seconds.
FULL_S = 10
#: Time after it has room again within which all requests are admitted, in
#: seconds.
RECOVERED_S = 6


class RecoveryTest(TestCase):
    """An account is not limited long after its service has room again."""

    def test_room_again(self) -> None:
        """Guards against a limit that outlasts its cause.

        Requests turned away before were counted for as long as it took them
        to fade, whatever the targets answered meanwhile.
        """
        throttle = FairThrottle(random.Random(1))
        rank = make_rank()
        for number in range(FULL_S * RATE):
            if throttle.admits(rank, number / RATE):
                throttle.record_result(turned_away=True)
        refused: list[float] = []
        for number in range(3 * RECOVERED_S * RATE):
            if throttle.admits(rank, FULL_S + number / RATE):
                throttle.record_result(turned_away=False)
            else:
                refused.append(number / RATE)
        self.assertLess(max(refused), RECOVERED_S)
