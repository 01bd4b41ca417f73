"""By how much the requests of an account may exceed its quota."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Bound on the requests of an account in any window, over all hosts.

    It is ``(rate * window_s + burst) * (1 + overage) + slack``.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0
