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
