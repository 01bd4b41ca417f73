"""Merges the records of shard answers into the greatest ones."""

import heapq
from collections.abc import Iterable

#: Length of one record, in bytes.
RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top_records: int) -> bytes:
    """Return the ``top_records`` greatest records of all bodies.

    Records are compared as byte strings and returned in descending order.
    Duplicates are kept; an incomplete record at the end of a body is
    ignored.
    """
    records: list[bytes] = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        for start in range(0, whole, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    return b''.join(heapq.nlargest(top_records, records))


def top_records_floor(bodies: Iterable[bytes], top_records: int) -> bytes:
    """Return the smallest of the ``top_records`` greatest records so far.

    Further records change the merged answer only if they are greater. Empty
    while there are fewer than ``top_records`` records.
    """
    merged = merge_records(bodies, top_records)
    if len(merged) < top_records * RECORD_BYTES:
        return b''
    return merged[-RECORD_BYTES:]


def drop_below(merged: bytes, floor: bytes) -> bytes:
    """Return a merged body without the records not greater than ``floor``."""
    for start in range(0, len(merged), RECORD_BYTES):
        if merged[start : start + RECORD_BYTES] <= floor:
            return merged[:start]
    return merged
