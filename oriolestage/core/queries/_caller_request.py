"""What callers ask for."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller."""

    #: Unique for the life of the request; the same at every hop.
    request_id: str
    #: Who asks, for fairness between callers.
    caller: str
    route: str
    body: bytes
    #: Longest time the caller waits, in milliseconds.
    timeout_ms: int
    #: UUID version 7 that names the work, or empty.
    idempotency_key: str = ''

    @property
    def fingerprint(self) -> int:
        """Identifies requests that would run the same work."""
        named = b'\0'.join((self.route.encode(), self.body))
        return xxhash.xxh3_64_intdigest(named)
