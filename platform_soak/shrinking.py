"""Leaves faults out of a plan that breaks a rule."""

from collections.abc import Callable

import msgspec

from platform_soak.plan import Fault, Plan


def shrink(plan: Plan, breaks: Callable[[Plan], set[str]], runs: int) -> Plan:
    """Return a plan with fewer faults that breaks one of the same rules.

    ``breaks`` plays a plan and returns the rules that it breaks; it is called
    at most ``runs`` times. Halves of the faults are left out first.
    """
    rules = breaks(plan)
    left = runs - 1
    size = len(plan.faults) // 2
    while size and left and rules:
        start = 0
        while start < len(plan.faults) and left:
            candidate = _without(plan, start, size)
            left -= 1
            if breaks(candidate) & rules:
                plan = candidate
            else:
                start += size
        size //= 2
    return plan


def _without(plan: Plan, start: int, size: int) -> Plan:
    faults: tuple[Fault, ...] = (
        plan.faults[:start] + plan.faults[start + size :]
    )
    return msgspec.structs.replace(plan, faults=faults)
