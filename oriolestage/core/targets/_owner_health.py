"""Detects owners that accept shard requests but do not reply.

Membership needs seconds to declare a paused host dead. An entry host notices
earlier that its own requests get no reply, and prefers targets of other owners
in the meantime.
"""

#: Time after the unanswered request until a silent owner is tried again, in
#: seconds.
SILENT_OWNER_RETRY_S = 1.0


class OwnerHealth:
    """Tracks the oldest request without a reply, by owner."""

    def __init__(self, silence_limit_s: float) -> None:
        """Treat owners as silent after ``silence_limit_s`` without a reply."""
        self._silence_limit_s = silence_limit_s
        self._unanswered_since: dict[str, float] = {}

    def record_sent(self, owner: str, now: float) -> None:
        """Record that a request was sent to an owner.

        After a retry interval without a reply the time starts again, so that
        this request is the next trial.
        """
        since = self._unanswered_since.setdefault(owner, now)
        if now - since > SILENT_OWNER_RETRY_S:
            self._unanswered_since[owner] = now

    def record_reply(self, owner: str) -> None:
        """Record that an owner replied to any request."""
        self._unanswered_since.pop(owner, None)

    def is_silent(self, owner: str, now: float) -> bool:
        """Return whether an owner should be avoided now."""
        since = self._unanswered_since.get(owner)
        if since is None:
            return False
        return self._silence_limit_s < now - since <= SILENT_OWNER_RETRY_S
