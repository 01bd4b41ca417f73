"""Bounds on the requests that a version on trial may get."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Bounds on a version that turns out to be bad, over all hosts."""

    #: Share of the service's requests between the order and its deadline.
    canary_share: float = 0.1
    #: Requests beyond that share.
    canary_slack: float = 50.0
    #: Time after its 50th bad answer from which it may get no request, in
    #: seconds.
    rollback_s: float = 5.0
