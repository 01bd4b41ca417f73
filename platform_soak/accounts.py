"""The client accounts of a run, and the keys of their callers."""

import dataclasses
from collections.abc import Mapping

#: Key that each version holds, and one that no version holds.
STEADY_KEY = 'key-steady'
UNKNOWN_KEY = 'key-unknown'
#: Stands for a request without a key.
NO_KEY = 'none'
#: Key of the account that sends more than its limit.
HOT_KEY = 'key-hot'
#: Beginning of all keys, by which a target recognises one.
KEY_PREFIX = 'key-'
#: Limit of the hot account: requests per second, and beyond them at once.
HOT_RATE_PER_S = 6
HOT_BURST = 6
#: Account that a caller claims to be, which hosts replace.
CLAIMED_ACCOUNT = 'claimed'


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account in a version of the configuration."""

    name: str
    keys: tuple[str, ...]
    #: Requests per second over all hosts; 0 means no limit.
    rate_per_s: float = 0
    burst: float = 0


def accounts_of(version: int) -> tuple[Account, ...]:
    """Return the accounts of a version.

    Each version adds one key and removes the one added two versions before.
    """
    return (
        Account('steady', (STEADY_KEY,)),
        Account('hot', (HOT_KEY,), HOT_RATE_PER_S, HOT_BURST),
        Account('rotating', (rotating_key(version), rotating_key(version - 1))),
    )


def rotating_key(version: int) -> str:
    """Return the key that is added by a version."""
    return f'{KEY_PREFIX}{version}'


def build_tenant(account: Account) -> dict:
    """Return an account as configurations have it."""
    return {
        'name': account.name,
        'apiKeys': list(account.keys),
        'ratePerS': account.rate_per_s,
        'burst': account.burst,
    }


def key_headers(key: str) -> dict[str, str]:
    """Return the headers that a caller with a key sends."""
    if not key:
        return {}
    headers = {'Tenant': CLAIMED_ACCOUNT}
    if key != NO_KEY:
        headers['Authorization'] = f'Bearer {key}'
    return headers


def account_fields(headers: Mapping[str, str]) -> dict[str, object]:
    """Return what a request, by lower-case header name, says of accounts."""
    has_key = 'authorization' in headers or any(
        KEY_PREFIX in text for text in headers.values()
    )
    return {'account': headers.get('tenant', ''), 'has_key': has_key}
