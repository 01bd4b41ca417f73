"""Quarantine of requests that crash targets, by request fingerprint.

The load pattern that this answers: a caller repeats a request that crashes
each target that runs it, at any pace, for as long as it likes. Waiting a fixed
time and trying again would crash the targets again each time. So a request
stays refused while it still comes; only quiet or an answer ends that.
"""

import dataclasses
from collections import OrderedDict

#: Most recently crashed targets that are remembered for each fingerprint.
TARGETS_LIMIT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineBounds:
    """How long requests are refused, and how much is remembered."""

    #: Crashed targets after which a fingerprint is refused.
    threshold: int
    #: Quiet after which it may run again, in seconds.
    quiet_s: float
    #: Time for which crashes are remembered after the last repetition, in
    #: seconds.
    retention_s: float
    #: Most recently answered fingerprints that are remembered.
    answered_limit: int
    #: Fingerprints that are remembered with their crashes, those that are
    #: refused and the others each.
    crashed_limit: int


@dataclasses.dataclass(slots=True)
class _FingerprintRecord:
    #: Time of the crash of each target.
    crashed_at: OrderedDict[str, float] = dataclasses.field(
        default_factory=OrderedDict
    )
    #: Time of the latest crash or repetition.
    touched_at: float = float('-inf')
    refused_until: float = float('-inf')
    #: Whether the end of the quiet was noticed.
    quiet_noticed: bool = False


class QuarantineTracker:
    """Counts the targets that each fingerprint crashed and quarantines it.

    A fingerprint that a target has answered is cleared: targets that crashed
    while they ran it must have crashed for another reason, such as a power
    cut.
    """

    def __init__(self, bounds: QuarantineBounds) -> None:
        """Start without crashes."""
        self._bounds = bounds
        #: Records by the time of their latest touch; below the threshold, and
        #: at it.
        self._suspected: OrderedDict[int, _FingerprintRecord] = OrderedDict()
        self._quarantined: OrderedDict[int, _FingerprintRecord] = OrderedDict()
        self._answered: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of fingerprints with remembered crashes."""
        return len(self._suspected) + len(self._quarantined)

    def record_answered(self, fingerprint: int) -> bool:
        """Record that a target answered a request with this fingerprint.

        Return whether that ends a quarantine.
        """
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > self._bounds.answered_limit:
            self._answered.popitem(last=False)
        self._suspected.pop(fingerprint, None)
        return self._quarantined.pop(fingerprint, None) is not None

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
        record = self._record(fingerprint)
        if target in record.crashed_at:
            return False
        record.crashed_at[target] = crashed_at
        if len(record.crashed_at) > TARGETS_LIMIT:
            record.crashed_at.popitem(last=False)
        self._touch(fingerprint, record, now)
        return True

    def record_repetition(self, fingerprint: int, now: float) -> None:
        """Record that a refused request came again, here or elsewhere."""
        record = self._quarantined.get(fingerprint)
        if record is not None:
            self._touch(fingerprint, record, now)

    def was_answered(self, fingerprint: int) -> bool:
        """Return whether a target is known to have answered a fingerprint."""
        return fingerprint in self._answered

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a fingerprint is refused, or was until the quiet."""
        return (
            fingerprint in self._quarantined
            and fingerprint not in self._answered
        )

    def crash_count(self, fingerprint: int) -> int:
        """Return the number of distinct targets that a fingerprint crashed.

        Return 0 for a fingerprint that a target has answered.
        """
        return len(self.crashed_targets(fingerprint))

    def crashed_targets(self, fingerprint: int) -> tuple[str, ...]:
        """Return the targets that a fingerprint crashed, the first first."""
        if fingerprint in self._answered:
            return ()
        record = self._quarantined.get(fingerprint) or self._suspected.get(
            fingerprint
        )
        return () if record is None else tuple(record.crashed_at)

    def quarantine_left_s(self, fingerprint: int, now: float) -> float:
        """Return the quiet that is still needed, in seconds; 0 for none."""
        record = self._quarantined.get(fingerprint)
        if record is None or fingerprint in self._answered:
            return 0
        return max(0, record.refused_until - now)

    def take_quiet(self, now: float) -> tuple[int, ...]:
        """Return the fingerprints whose quiet has ended since the last call."""
        quiet: list[int] = []
        for fingerprint, record in self._quarantined.items():
            if record.refused_until <= now and not record.quiet_noticed:
                record.quiet_noticed = True
                quiet.append(fingerprint)
        self._remove_expired(now)
        return tuple(quiet)

    def _record(self, fingerprint: int) -> _FingerprintRecord:
        record = self._quarantined.get(fingerprint)
        if record is None:
            record = self._suspected.setdefault(
                fingerprint, _FingerprintRecord()
            )
        return record

    def _touch(
        self, fingerprint: int, record: _FingerprintRecord, now: float
    ) -> None:
        """Refuse a fingerprint with enough crashes until it is quiet."""
        record.touched_at = max(now, record.touched_at)
        if len(record.crashed_at) < self._bounds.threshold:
            self._keep(self._suspected, fingerprint, record)
            return
        record.refused_until = record.touched_at + self._bounds.quiet_s
        record.quiet_noticed = False
        self._suspected.pop(fingerprint, None)
        self._keep(self._quarantined, fingerprint, record)

    def _keep(
        self,
        records: OrderedDict[int, _FingerprintRecord],
        fingerprint: int,
        record: _FingerprintRecord,
    ) -> None:
        records[fingerprint] = record
        records.move_to_end(fingerprint)
        if len(records) > self._bounds.crashed_limit:
            records.popitem(last=False)

    def _remove_expired(self, now: float) -> None:
        for records in (self._suspected, self._quarantined):
            while records:
                oldest = next(iter(records.values()))
                if now - oldest.touched_at <= self._bounds.retention_s:
                    break
                records.popitem(last=False)
