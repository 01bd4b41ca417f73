"""Admission control for the callers' requests at this host."""

from oriolestage.core._node_parts import NodeParts
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._outcomes import NotRun, Reason

#: Retry delay suggested while the configuration is not fresh, in milliseconds.
UNREADY_RETRY_MS = 500
MS_PER_S = 1000


def check_admission(parts: NodeParts, request: CallerRequest) -> NotRun | None:
    """Return the refusal of a request, or None if it may start.

    A request is refused while its fingerprint is quarantined because several
    targets were lost running it, and while the configuration is not fresh.
    """
    quarantine_s = parts.crashes.refuse_for_s(request.fingerprint)
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
