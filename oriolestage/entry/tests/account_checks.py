"""Builders of checks of accounts and quotas that no request needs."""

from unittest.mock import create_autospec

from oriolestage.entry._account_checks import AccountChecker
from oriolestage.entry._ports import WireProtocol
from oriolestage.entry._quota_exchange import QuotaExchange


def make_unused_checker() -> AccountChecker:
    """Return a checker for configurations without accounts."""
    return AccountChecker(create_autospec(WireProtocol, instance=True))


def make_unused_quotas() -> QuotaExchange:
    """Return quotas for requests without accounts."""
    quotas: QuotaExchange = create_autospec(QuotaExchange, instance=True)
    return quotas
