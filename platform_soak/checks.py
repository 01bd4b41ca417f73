"""Checks a run against the rules of the platform, from outside of the hosts.

Each check yields its breaches. Where a rule has excuses that need more than a
run records, a check counts less than the rule does, never more.
"""

from platform_soak import (
    account_checks,
    answer_checks,
    cut_checks,
    host_checks,
    load_checks,
    placement_checks,
    rollout_checks,
    run_checks,
    version_checks,
)
from platform_soak.breaches import Breach, Check
from platform_soak.history import History

CHECKS: tuple[Check, ...] = (
    run_checks.check_runs,
    run_checks.check_unasked,
    answer_checks.check_answers,
    placement_checks.check_configuration,
    placement_checks.check_leaving,
    placement_checks.check_evacuations,
    load_checks.check_said_leaving,
    load_checks.check_limits,
    load_checks.check_rests,
    load_checks.check_attempts,
    load_checks.check_left_callers,
    version_checks.check_downgrades,
    version_checks.check_denied,
    account_checks.check_accounts,
    account_checks.check_keys,
    account_checks.check_quotas,
    rollout_checks.check_exposure,
    rollout_checks.check_decisions,
    rollout_checks.check_unordered,
    cut_checks.check_planned_work,
    cut_checks.check_reconfigurations,
    cut_checks.check_kept_connections,
    host_checks.check_processes,
    host_checks.check_recovery,
)


def check_all(history: History) -> list[Breach]:
    """Return all breaches, by time."""
    breaches: list[Breach] = []
    for check in CHECKS:
        breaches.extend(check(history))
    return sorted(breaches, key=lambda breach: breach.at)
