"""Builders of checks of accounts."""

from unittest.mock import create_autospec

from oriolestage.entry._account_checks import AccountChecker
from oriolestage.entry._ports import WireProtocol


def make_unused_checker() -> AccountChecker:
    """Return a checker for configurations without accounts."""
    return AccountChecker(create_autospec(WireProtocol, instance=True))
