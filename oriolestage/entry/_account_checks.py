"""Finds the account of a caller's request and what follows from it."""

import dataclasses

from oriolestage.entry._caller_request import CallerRequest
from oriolestage.entry._ports import WireProtocol
from oriolestage.routing._answers import GiveUpReason, Refused
from oriolestage.routing._crash_detector import fingerprint_of_caller
from oriolestage.routing._rules import RouteRule, RoutingTable

#: Retry-After for a request that no region may serve, in seconds. Only another
#: configuration changes that, which takes this time to be in force.
NO_REGION_RETRY_AFTER_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedRequest:
    """A request that may run, and the rule that applies to it."""

    #: With its account, and with headers that may be passed on.
    request: CallerRequest
    #: The rule of the route with the priority and regions of the account.
    rule: RouteRule


class AccountChecker:
    """Recognises the accounts of requests by their keys."""

    def __init__(self, wire_protocol: WireProtocol) -> None:
        """Create a checker that reads keys as a wire protocol says."""
        self._wire_protocol = wire_protocol

    def check(
        self, request: CallerRequest, rule: RouteRule, table: RoutingTable
    ) -> CheckedRequest | Refused:
        """Return the request with its account, or why it is refused.

        Without accounts in the configuration, nothing is changed.
        """
        if not table.accounts:
            return CheckedRequest(request, rule)
        key = self._wire_protocol.account_key(request.headers)
        account = None if key is None else table.accounts.find(key)
        if account is None and not rule.public:
            return Refused(GiveUpReason.UNKNOWN_KEY, 0)
        name = None if account is None else account.name
        identified = dataclasses.replace(
            request,
            account=account,
            headers=self._wire_protocol.account_headers(request.headers, name),
        )
        if account is None:
            return CheckedRequest(identified, rule)
        identified = dataclasses.replace(
            identified,
            fingerprint=fingerprint_of_caller(
                request.fingerprint, account.name
            ),
        )
        regions = rule.regions | account.regions
        if rule.regions and account.regions:
            # An empty set would allow all regions.
            regions = rule.regions & account.regions
            if not regions:
                return Refused(GiveUpReason.NO_REGION, NO_REGION_RETRY_AFTER_S)
        priority = rule.priority
        if account.priority is not None:
            priority = account.priority
        return CheckedRequest(
            identified,
            dataclasses.replace(rule, regions=regions, priority=priority),
        )
