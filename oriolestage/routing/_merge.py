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
        records.extend(_records_of(body))
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


class GatheredRecords:
    """The greatest records of one query, merged as they arrive.

    What is left to do when the answer is due does not grow with the number
    of records.
    """

    def __init__(self, top_records: int) -> None:
        """Start without records."""
        self._top_records = top_records
        #: In descending order.
        self._merged = b''

    @property
    def merged(self) -> bytes:
        """The greatest records so far in descending order."""
        return self._merged

    @property
    def floor(self) -> bytes:
        """Smallest of the greatest records; empty while they are too few."""
        if len(self._merged) < self._top_records * RECORD_BYTES:
            return b''
        return self._merged[-RECORD_BYTES:]

    def add(self, body: bytes) -> None:
        """Merge the records of one body."""
        floor = self.floor
        if any(record > floor for record in _records_of(body)):
            self._merged = merge_records(
                (self._merged, body), self._top_records
            )


def drop_below(merged: bytes, floor: bytes) -> bytes:
    """Return a merged body without the records not greater than ``floor``."""
    for start in range(0, len(merged), RECORD_BYTES):
        if merged[start : start + RECORD_BYTES] <= floor:
            return merged[:start]
    return merged


def _records_of(body: bytes) -> list[bytes]:
    whole = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]
