"""Notices owners that take shard requests and do not reply.

Membership needs seconds to declare a paused host dead. An entry host sees
earlier that its own requests stay without a reply, and prefers targets of
other owners meanwhile.
"""

#: Time after which an avoided owner is tried again, in seconds.
RETRY_S = 1.0


class OwnerHealth:
    """Keeps since when each owner owes a reply."""

    def __init__(self, silence_limit_s: float) -> None:
        """Avoid owners that owe a reply for ``silence_limit_s``."""
        self._silence_limit_s = silence_limit_s
        self._waiting_since: dict[str, float] = {}

    def record_sent(self, owner: str, now: float) -> None:
        """Note that a request went to an owner."""
        since = self._waiting_since.setdefault(owner, now)
        if now - since > RETRY_S:
            self._waiting_since[owner] = now

    def record_reply(self, owner: str) -> None:
        """Note that an owner replied to something."""
        self._waiting_since.pop(owner, None)

    def is_silent(self, owner: str, now: float) -> bool:
        """Tell whether an owner should be avoided now."""
        since = self._waiting_since.get(owner)
        if since is None:
            return False
        return self._silence_limit_s < now - since <= RETRY_S
