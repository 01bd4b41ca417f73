"""Messages between hosts about the quotas of accounts.

They are messages of the streams between hosts; see ``_peer_messages``.
"""

import msgspec

from oriolestage.admission._quota_messages import TokenGrant, UsageReport


class QuotaReports(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='quota_reports',
):
    """Reports of one process of a host to one grantor."""

    host: str
    #: Number that differs for each start of the host.
    process: int
    reports: tuple[UsageReport, ...]


class QuotaGrants(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='quota_grants',
):
    """Answers to some of the reports in a :class:`QuotaReports`."""

    #: Name of the granting host.
    host: str
    grants: tuple[TokenGrant, ...]


class QuotaClaims(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='quota_claims',
):
    """Asks for votes in some accounts."""

    host: str
    #: Number that identifies the claims at the host.
    number: int
    accounts: tuple[str, ...]


class QuotaVotesGiven(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='quota_votes',
):
    """Answers :class:`QuotaClaims`."""

    #: Name of the voting host.
    host: str
    number: int
    #: Accounts in which the claimant gets the vote.
    granted: tuple[str, ...]
    #: Those of them in which no other host has led in the last window.
    settled: tuple[str, ...]


QuotaQuestion = QuotaReports | QuotaClaims
QuotaAnswer = QuotaGrants | QuotaVotesGiven
