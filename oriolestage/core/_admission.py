"""Refuses callers' requests that must not start at this host now."""

from oriolestage.core._node_parts import NodeParts
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._outcomes import NotRun, Reason

#: Suggested wait while a host may not start new work, in milliseconds.
UNREADY_RETRY_MS = 500
MS_PER_S = 1000


def check_admission(parts: NodeParts, request: CallerRequest) -> NotRun | None:
    """Give the refusal of a request; None if it may start."""
    quarantine_s = parts.crashes.quarantine_left_s(request.fingerprint)
    if quarantine_s > 0:
        return NotRun(
            Reason.QUARANTINED,
            'entry.admission',
            parts.identity.name,
            retry_after_ms=int(quarantine_s * MS_PER_S),
        )
    if parts.may_start_work():
        return None
    return NotRun(
        Reason.STALE_CONFIGURATION,
        'entry.admission',
        parts.identity.name,
        retry_after_ms=UNREADY_RETRY_MS,
    )
