"""Requests that may make targets crash, by their fingerprint."""

import dataclasses
from collections import OrderedDict


@dataclasses.dataclass(slots=True)
class _FingerprintRecord:
    #: Targets lost, with the time of each loss.
    losses: dict[str, float]
    quarantined_until: float = float('-inf')


class QuarantineTracker:
    """Counts the targets that each fingerprint cost, and quarantines it.

    A fingerprint that a target answered is cleared: targets lost while they
    ran it were lost for another reason, such as a power cut.
    """

    def __init__(
        self,
        threshold: int,
        kept_s: float,
        survivors_kept: int,
    ) -> None:
        """Quarantine for ``kept_s`` after ``threshold`` distinct targets.

        Of the fingerprints that a target answered the newest
        ``survivors_kept`` are remembered.
        """
        self._threshold = threshold
        self._kept_s = kept_s
        self._survivors_kept = survivors_kept
        self._suspects: dict[int, _FingerprintRecord] = {}
        self._survived: OrderedDict[int, None] = OrderedDict()

    def record_answered(self, fingerprint: int) -> None:
        """Note that a target ran a fingerprint and lived to answer."""
        self._survived[fingerprint] = None
        self._survived.move_to_end(fingerprint)
        if len(self._survived) > self._survivors_kept:
            self._survived.popitem(last=False)

    def record_crash(
        self,
        fingerprint: int,
        target: str,
        lost_at: float,
        now: float,
    ) -> bool:
        """Note that a target crashed; tell whether that is news."""
        self._forget_old(now)
        suspect = self._suspects.setdefault(fingerprint, _FingerprintRecord({}))
        if target in suspect.losses:
            return False
        suspect.losses[target] = lost_at
        if len(suspect.losses) >= self._threshold:
            suspect.quarantined_until = now + self._kept_s
        return True

    def was_answered(self, fingerprint: int) -> bool:
        """Tell whether a target answered the fingerprint."""
        return fingerprint in self._survived

    def losses(self, fingerprint: int) -> int:
        """Give the number of distinct targets lost to a fingerprint."""
        if fingerprint in self._survived:
            return 0
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else len(suspect.losses)

    def quarantine_left_s(self, fingerprint: int, now: float) -> float:
        """Give the time for which a fingerprint is still refused."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or fingerprint in self._survived:
            return 0
        return max(0, suspect.quarantined_until - now)

    def _forget_old(self, now: float) -> None:
        horizon = now - self._kept_s
        for fingerprint, suspect in tuple(self._suspects.items()):
            if suspect.quarantined_until > now:
                continue
            if max(suspect.losses.values(), default=horizon) <= horizon:
                self._suspects.pop(fingerprint)
