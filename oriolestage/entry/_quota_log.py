"""Log events and counts of the quotas of accounts."""

from collections import Counter
from collections.abc import Callable, Mapping

from oriolestage._logging import log_event

#: Least time between lines about the refusals of one account, in seconds.
LINE_INTERVAL_S = 1.0


class QuotaLog:
    """Counts what happens to requests of accounts, and logs it in bounds."""

    def __init__(
        self,
        log: Callable[[str, Mapping[str, object]], None] = log_event,
    ) -> None:
        """Create a log without events."""
        self._log = log
        self._counts: Counter[str] = Counter()
        #: Refusals by account that no line has reported.
        self._refused: Counter[str] = Counter()
        self._reported_at: dict[str, float] = {}
        self._silent: frozenset[str] = frozenset()

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of events by kind."""
        return self._counts

    def count(self, event: str) -> None:
        """Count an event."""
        self._counts[event] += 1

    def record_refused(
        self, account: str, retry_after_s: float, now: float
    ) -> None:
        """Record a request over the limit; log one line for many."""
        self._counts['refused'] += 1
        self._refused[account] += 1
        if now - self._reported_at.get(account, float('-inf')) < (
            LINE_INTERVAL_S
        ):
            return
        self._reported_at[account] = now
        self._log(
            'quota_exceeded',
            {
                'account': account,
                'refused': self._refused.pop(account),
                'retry_after_s': retry_after_s,
            },
        )

    def record_silent(self, silent: frozenset[str]) -> None:
        """Log the grantors that no longer answer, or answer again."""
        for name in silent - self._silent:
            self._counts['grantor_silent'] += 1
            self._log('quota_grantor_silent', {'peer': name})
        for name in self._silent - silent:
            self._log('quota_grantor_heard', {'peer': name})
        self._silent = silent

    def forget(self, now: float) -> None:
        """Forget accounts without refusals, and report the last ones."""
        for account, reported_at in tuple(self._reported_at.items()):
            if now - reported_at < LINE_INTERVAL_S:
                continue
            if self._refused.get(account):
                self._reported_at[account] = now
                self._log(
                    'quota_exceeded',
                    {
                        'account': account,
                        'refused': self._refused.pop(account),
                    },
                )
            else:
                self._reported_at.pop(account)
