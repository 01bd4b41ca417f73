"""Builders of checks of accounts and quotas that no request needs."""

from unittest.mock import create_autospec

from oriolestage.entry._account_checks import AccountChecker, CheckedRequest
from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._ports import WireProtocol
from oriolestage.entry._quota_exchange import QuotaExchange
from oriolestage.routing._rules import RouteRule, RoutingTable


def make_unused_checker() -> AccountChecker:
    """Return a checker for configurations without accounts."""
    return AccountChecker(create_autospec(WireProtocol, instance=True))


def make_unused_quotas() -> QuotaExchange:
    """Return quotas for requests without accounts."""
    quotas: QuotaExchange = create_autospec(QuotaExchange, instance=True)
    return quotas


class KnownAccounts(AccountChecker):
    """Takes the account that a request has already, without a key."""

    def __init__(self) -> None:
        """Create a checker that reads no headers."""
        super().__init__(create_autospec(WireProtocol, instance=True))

    def check(
        self, request: CallerRequest, rule: RouteRule, table: RoutingTable
    ) -> CheckedRequest:
        """Return the request unchanged."""
        return CheckedRequest(request, rule)
