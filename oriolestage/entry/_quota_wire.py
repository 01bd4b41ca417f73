"""Messages between hosts about the quotas of accounts.

They are messages of the streams between hosts; see ``_peer_messages``.
"""

import msgspec

from oriolestage.admission._quota_messages import (
    ClosedAccount,
    UsageReport,
    UsageVerdict,
)


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


class QuotaNotices(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='quota_notices',
):
    """Accounts that every host has to refuse for a time; has no answer."""

    notices: tuple[ClosedAccount, ...]


class QuotaVerdicts(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='quota_verdicts',
):
    """Answers to the reports in a :class:`QuotaReports`."""

    #: Name of the answering host.
    host: str
    verdicts: tuple[UsageVerdict, ...]


QuotaMessage = QuotaReports | QuotaNotices
