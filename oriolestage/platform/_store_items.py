"""Decodes the items of a page of the store, and of its changes, one by one."""

from collections.abc import Iterable

import msgspec

from oriolestage.platform import _names
from oriolestage.platform._documents import (
    MAX_PROBLEM_CHARACTERS,
    decode_removal,
    decode_value,
)
from oriolestage.routing._facts import StoredFact, UnreadableItem

#: Prefixes of the keys that concern an entry host.
RELEVANT_PREFIXES = (
    _names.CONFIGURATION_KEY,
    _names.CLOSED_DATA_CENTRE_PREFIX,
    _names.TARGET_PREFIX,
    _names.HOST_PREFIX,
    _names.CRASH_PREFIX,
    _names.ROLLOUT_ORDER_PREFIX,
    _names.ROLLOUT_STATUS_PREFIX,
    _names.ROLLOUT_EVIDENCE_PREFIX,
)


class StoreItem(msgspec.Struct, frozen=True):
    """An item as it was written, or the removal of one."""

    key: str
    # Base64 text. Any JSON is accepted here and in the next field.
    value: object = ''
    removed: object = False
    revision: object = 0


def decode_items(encoded: Iterable[bytes]) -> list[StoreItem | UnreadableItem]:
    """Decode items, each of which is a text in JSON.

    Whatever one of them is, the others are decoded.
    """
    return [_decode_item(text) for text in encoded]


def read_facts(
    listed: Iterable[StoreItem | UnreadableItem],
) -> list[StoredFact]:
    """Return what the items say that concerns an entry host."""
    facts: list[StoredFact] = []
    for item in listed:
        fact = _to_fact(item)
        if fact is not None:
            facts.append(fact)
    return facts


def readable_keys(listed: Iterable[StoreItem | UnreadableItem]) -> list[str]:
    """Return the keys of the items that can be read."""
    return [item.key for item in listed if isinstance(item, StoreItem)]


def _decode_item(encoded: bytes) -> StoreItem | UnreadableItem:
    try:
        return msgspec.json.decode(encoded, type=StoreItem)
    except Exception as error:  # noqa: BLE001 - such as a nesting too deep
        problem = f'{type(error).__name__}: {error}'
        return UnreadableItem('', problem[:MAX_PROBLEM_CHARACTERS])


def _to_fact(item: StoreItem | UnreadableItem) -> StoredFact | None:
    if isinstance(item, UnreadableItem):
        return item
    if not item.key.startswith(RELEVANT_PREFIXES):
        return None
    if item.removed:
        return decode_removal(item.key)
    revision = item.revision if isinstance(item.revision, int) else 0
    return decode_value(item.key, item.value, revision)
