"""Tests of :func:`~oriolestage.core.apply_change`."""

import unittest

from oriolestage.core import (
    ChangeRefusedError,
    PutRoute,
    Route,
    SetDataCentreAccepting,
    SetTargetAccepting,
    SetTargetLimits,
    apply_change,
    serving_targets,
)
from oriolestage.core.tests.builders import small_configuration


class ChangeTest(unittest.TestCase):
    """A change is applied as a whole or refused with a reason."""

    def test_data_centre_out_and_back(self) -> None:
        """A data centre taken out has no serving targets until it is back."""
        document = small_configuration()
        without = apply_change(document, SetDataCentreAccepting('ege-a', False))
        centres = {target.data_centre for target in serving_targets(without)}
        self.assertEqual(centres, {'marmara-a'})
        back = apply_change(without, SetDataCentreAccepting('ege-a', True))
        self.assertEqual(serving_targets(back), serving_targets(document))
        self.assertEqual(back.revision, 2)

    def test_last_replica_needs_confirmation(self) -> None:
        """Taking out the last target of a service must be confirmed."""
        document = small_configuration(replicas=1)
        change = SetTargetAccepting('search-0-0', False)
        with self.assertRaisesRegex(ChangeRefusedError, 'add "confirm"'):
            apply_change(document, change)
        confirmed = SetTargetAccepting('search-0-0', False, confirmed=True)
        self.assertEqual(apply_change(document, confirmed).revision, 1)

    def test_refusals_name_what_is_wrong(self) -> None:
        """Unknown names and limits out of range are refused by name."""
        cases = (
            (SetDataCentreAccepting('ghost', False), "'ghost'"),
            (PutRoute(Route('r', 'ghost')), "group 'ghost'"),
            (PutRoute(Route('r', 'search', timeout_ms=0)), 'timeout'),
            (SetTargetLimits('search-0-0', 0, 5), 'slots'),
            (SetTargetLimits('search-0-0', 9, 5), 'connections'),
        )
        for change, expected in cases:
            with self.subTest(expected):
                with self.assertRaisesRegex(ChangeRefusedError, expected):
                    apply_change(small_configuration(), change)
