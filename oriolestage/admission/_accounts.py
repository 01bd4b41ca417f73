"""Client accounts and the keys by which their requests are recognised.

A key is found by a keyed hash. The time that a lookup takes therefore says
nothing about how much of a guessed key is right, and the number of keys does
not matter.
"""

import dataclasses
import hashlib
import secrets
from collections.abc import Mapping

#: Size of a digest and of the secret that it depends on, in bytes.
DIGEST_BYTES = 16
#: Secret of this process: digests cannot be computed in advance.
_SECRET = secrets.token_bytes(DIGEST_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """One client account."""

    name: str
    #: Priority of its requests, which replaces that of their route; None if
    #: the route's priority applies.
    priority: int | None = None
    #: Requests per second over all hosts; 0 means no limit.
    rate: float = 0
    #: Requests beyond the rate that may come at once.
    burst: float = 0
    #: Regions that may serve its requests; empty means all.
    regions: frozenset[str] = frozenset()


class AccountDirectory:
    """The accounts of one configuration, by their keys. Immutable."""

    def __init__(self, keys: Mapping[Account, tuple[str, ...]]) -> None:
        """Create a directory of accounts with the keys of each.

        A key that several accounts have belongs to the first of them.
        """
        accounts: dict[str, Account] = {}
        by_digest: dict[bytes, Account] = {}
        for account, held in keys.items():
            accounts[account.name] = account
            for key in held:
                by_digest.setdefault(_digest(key), account)
        self._accounts: Mapping[str, Account] = accounts
        self._by_digest: Mapping[bytes, Account] = by_digest
        self._limited = tuple(
            account for account in accounts.values() if account.rate > 0
        )

    def __repr__(self) -> str:
        """Return the accounts and the number of keys, but no key."""
        accounts = list(self._accounts.values())
        return f'AccountDirectory({accounts!r}, keys={len(self._by_digest)})'

    def __len__(self) -> int:
        """Return the number of accounts; without any, keys are not checked."""
        return len(self._accounts)

    @property
    def limited(self) -> tuple[Account, ...]:
        """The accounts that have a quota."""
        return self._limited

    def find(self, key: str) -> Account | None:
        """Return the account that holds a key, None if none does."""
        return self._by_digest.get(_digest(key))

    def named(self, name: str) -> Account | None:
        """Return the account with this name, None if there is none."""
        return self._accounts.get(name)


#: Directory of a configuration without accounts.
NO_ACCOUNTS = AccountDirectory({})


def _digest(key: str) -> bytes:
    content = key.encode('utf-8', 'surrogateescape')
    return hashlib.blake2b(
        content, digest_size=DIGEST_BYTES, key=_SECRET
    ).digest()
