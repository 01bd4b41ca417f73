"""Merges the records of shard answers."""

import heapq
from collections.abc import Iterable

#: Length of one record, in bytes.
RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top_records: int) -> bytes:
    """Give the greatest records of all bodies, the greatest first.

    Records compare byte by byte, equal ones all count, and what is left of a
    body after its last whole record is ignored.
    """
    records: list[bytes] = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        for start in range(0, whole, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    return b''.join(heapq.nlargest(top_records, records))


def top_records_floor(bodies: Iterable[bytes], top_records: int) -> bytes:
    """Give the record that further ones must exceed to be of use.

    It is the last of the greatest records so far; empty while there are
    fewer than ``top_records``.
    """
    merged = merge_records(bodies, top_records)
    if len(merged) < top_records * RECORD_BYTES:
        return b''
    return merged[-RECORD_BYTES:]


def drop_below(merged: bytes, floor: bytes) -> bytes:
    """Drop the records of a merged body that do not exceed ``floor``."""
    for start in range(0, len(merged), RECORD_BYTES):
        if merged[start : start + RECORD_BYTES] <= floor:
            return merged[:start]
    return merged
