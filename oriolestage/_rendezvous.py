"""Rendezvous hashing: every host computes the same owner from one view."""

from collections.abc import Iterable

import xxhash


def rendezvous_rank(key: str, names: Iterable[str]) -> list[str]:
    """Order ``names`` by preference for ``key``, the most preferred first."""
    return sorted(
        names,
        key=lambda name: _weight(key, name),
        reverse=True,
    )


def rendezvous_owner(key: str, names: Iterable[str]) -> str:
    """Give the most preferred of ``names``, or an empty string if none."""
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
