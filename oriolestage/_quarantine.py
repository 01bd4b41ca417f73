"""Quarantine of requests that crash targets, by request fingerprint."""

import dataclasses
from collections import OrderedDict


@dataclasses.dataclass(slots=True)
class _FingerprintRecord:
    #: Time of the crash of each target.
    crashed_at: dict[str, float]
    quarantined_until: float = float('-inf')


class QuarantineTracker:
    """Counts the targets that each fingerprint crashed and quarantines it.

    A fingerprint that a target has answered is cleared: targets that crashed
    while they ran it must have crashed for another reason, such as a power
    cut.
    """

    def __init__(
        self,
        threshold: int,
        retention_s: float,
        answered_limit: int,
    ) -> None:
        """Quarantine a fingerprint once ``threshold`` targets have crashed.

        A quarantine lasts ``retention_s`` seconds. The crashes of a
        fingerprint are forgotten ``retention_s`` after the last of them. The
        ``answered_limit`` most recently answered fingerprints are remembered.
        """
        self._threshold = threshold
        self._retention_s = retention_s
        self._answered_limit = answered_limit
        self._records: dict[int, _FingerprintRecord] = {}
        self._answered: OrderedDict[int, None] = OrderedDict()

    def record_answered(self, fingerprint: int) -> None:
        """Record that a target answered a request with this fingerprint."""
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > self._answered_limit:
            self._answered.popitem(last=False)

    def record_crash(
        self,
        fingerprint: int,
        target: str,
        crashed_at: float,
        now: float,
    ) -> bool:
        """Record that a target crashed at ``crashed_at``.

        Return False if the crash of this target is recorded already.
        """
        self._remove_expired(now)
        record = self._records.setdefault(fingerprint, _FingerprintRecord({}))
        if target in record.crashed_at:
            return False
        record.crashed_at[target] = crashed_at
        if len(record.crashed_at) >= self._threshold:
            record.quarantined_until = now + self._retention_s
        return True

    def was_answered(self, fingerprint: int) -> bool:
        """Return whether a target is known to have answered a fingerprint."""
        return fingerprint in self._answered

    def crash_count(self, fingerprint: int) -> int:
        """Return the number of distinct targets that a fingerprint crashed.

        Return 0 for a fingerprint that a target has answered.
        """
        if fingerprint in self._answered:
            return 0
        record = self._records.get(fingerprint)
        return 0 if record is None else len(record.crashed_at)

    def quarantine_left_s(self, fingerprint: int, now: float) -> float:
        """Return the seconds until a quarantine ends, 0 if there is none."""
        record = self._records.get(fingerprint)
        if record is None or fingerprint in self._answered:
            return 0
        return max(0, record.quarantined_until - now)

    def _remove_expired(self, now: float) -> None:
        oldest = now - self._retention_s
        for fingerprint, record in tuple(self._records.items()):
            if record.quarantined_until > now:
                continue
            if max(record.crashed_at.values(), default=oldest) <= oldest:
                self._records.pop(fingerprint)
