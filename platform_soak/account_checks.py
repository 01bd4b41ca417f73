"""Checks of accounts, their keys and their quotas."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from http import HTTPStatus

from platform_soak.breaches import Breach, breach_of
from platform_soak.clients import Call
from platform_soak.configurations import Version
from platform_soak.history import History
from platform_soak.load_checks import most_in_window
from platform_soak.placement_checks import due_versions

#: Length of the window of a quota, in seconds (``quotaWindowS``), and what is
#: allowed in it beyond the limit: a share of it (``quotaOverage``), and so
#: many requests more (``quotaSlack``).
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20


def check_accounts(history: History) -> Iterator[Breach]:
    """ACCOUNT: targets get the account of the caller's key, and no key."""
    names = _account_names(history)
    calls = history.calls_by_attempt()
    for event in history.of('reached'):
        call = calls.get(event['attempt'])
        if call is None:
            continue
        if event.get('has_key'):
            yield breach_of('ACCOUNT', call, f'{event["server"]} got a key')
        account = event.get('account', '')
        if account != names.get(call.key, ''):
            text = f'reached {event["server"]} as {account!r}'
            yield breach_of('ACCOUNT', call, text)


def check_keys(history: History) -> Iterator[Breach]:
    """KEY: requests run if and only if a version in force holds their key."""
    runs = history.runs_by_attempt()
    for call in history.calls:
        versions = _possible_versions(history, call)
        held = [version.allows_key(call.key) for version in versions]
        if call.attempt in runs and not any(held):
            yield breach_of('KEY', call, f'ran with the key {call.key!r}')
        refused = call.answer is not None and (
            call.answer.status == HTTPStatus.UNAUTHORIZED
        )
        if refused and all(held):
            yield breach_of('KEY', call, f'401 to the key {call.key!r}')


def check_quotas(history: History) -> Iterator[Breach]:
    """QUOTA: an account runs no more than its limit over all hosts.

    Further attempts of hosts for one request do not count.
    """
    names = _account_names(history)
    begun = history.runs_by_attempt()
    times: defaultdict[str, list[float]] = defaultdict(list)
    for call in history.calls:
        if call.attempt in begun and call.key in names:
            times[names[call.key]].append(begun[call.attempt][0].at)
    for name, allowed in _allowed_in_window(history).items():
        most = most_in_window(times[name], QUOTA_WINDOW_S)
        if most > allowed:
            text = f'{name} ran {most} in 5 s, {allowed:.1f} allowed'
            yield Breach('QUOTA', min(times[name]), text)


def count_not_owed(history: History) -> int:
    """Return the number of calls to which nobody owes an answer.

    These are the ones answered 401 whose key some version in force lacks, and
    what an account asks beyond its limit, the highest of all versions.
    """
    names = _account_names(history)
    unknown = 0
    times: defaultdict[str, list[float]] = defaultdict(list)
    for call in history.calls:
        answer = call.answer
        if answer is None or answer.status != HTTPStatus.UNAUTHORIZED:
            times[names.get(call.key, '')].append(call.started_at)
            continue
        versions = _possible_versions(history, call)
        unknown += not all(version.allows_key(call.key) for version in versions)
    beyond: float = 0
    for name, rate_per_s, burst in _highest_limits(history):
        asked = times[name]
        if asked:
            limit = rate_per_s * (max(asked) - min(asked)) + burst
            beyond += max(0, len(asked) - limit)
    return unknown + int(beyond)


def _highest_limits(history: History) -> Iterator[tuple[str, float, float]]:
    """Yield name, requests per second and burst of accounts with a limit."""
    accounts = [
        account for version in history.versions for account in version.accounts
    ]
    for name in sorted({account.name for account in accounts}):
        limits = [known for known in accounts if known.name == name]
        if all(known.rate_per_s for known in limits):
            yield (
                name,
                max(known.rate_per_s for known in limits),
                max(known.burst for known in limits),
            )


def _allowed_in_window(history: History) -> Mapping[str, float]:
    """Return how much each account with a limit may run in a window."""
    allowed: dict[str, float] = {}
    for version in history.versions:
        for account in version.accounts:
            if not account.rate_per_s:
                continue
            limit = account.rate_per_s * QUOTA_WINDOW_S + account.burst
            bound = limit * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
            allowed[account.name] = max(bound, allowed.get(account.name, 0))
    return allowed


def _account_names(history: History) -> Mapping[str, str]:
    """Return the account of each key that any version has held."""
    names: dict[str, str] = {}
    for version in history.versions:
        for account in version.accounts:
            names.update(dict.fromkeys(account.keys, account.name))
    return names


def _possible_versions(history: History, call: Call) -> Sequence[Version]:
    """Return the versions that may be in force at the host of a call."""
    return due_versions(history, call) or [
        version
        for version in history.versions
        if version.acknowledged_at < call.ended_at
    ]
