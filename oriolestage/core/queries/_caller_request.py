"""The request of a caller, as the entry host received it."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller for a route."""

    #: Unique while the request lasts; the same at every hop.
    request_id: str
    #: Name of the caller, for fair queueing between callers.
    caller: str
    route: str
    body: bytes
    #: Longest time the caller waits, in milliseconds.
    timeout_ms: int
    #: UUID version 7 that stays the same when the caller sends the request
    #: again; empty when the caller gave none.
    idempotency_key: str = ''

    @property
    def fingerprint(self) -> int:
        """Hash of the route and body; equal for requests for the same work."""
        identity = b'\0'.join((self.route.encode(), self.body))
        return xxhash.xxh3_64_intdigest(identity)
