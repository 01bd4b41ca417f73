"""Rendezvous hashing, also called highest random weight hashing.

Hosts that know the same names compute the same owner without communication.
When a name is added or removed, only the keys that it owns change owner.
"""

from collections.abc import Iterable

import xxhash


def rendezvous_rank(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by their weight for ``key``, the highest first."""
    return sorted(
        names,
        key=lambda name: _weight(key, name),
        reverse=True,
    )


def rendezvous_position(key: str, name: str, names: Iterable[str]) -> int:
    """Return the index of ``name`` in ``rendezvous_rank(key, names)``.

    Hosts use it to find their own place without ranking all others.
    """
    own_weight = _weight(key, name)
    return sum(1 for other in names if _weight(key, other) > own_weight)


def rendezvous_owner(key: str, names: Iterable[str]) -> str:
    """Return the name with the highest weight for ``key``.

    Return an empty string if there are no names.
    """
    best_name = ''
    best_weight = -1
    for name in names:
        weight = _weight(key, name)
        if weight > best_weight:
            best_name = name
            best_weight = weight
    return best_name


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{name}|{key}'.encode())
