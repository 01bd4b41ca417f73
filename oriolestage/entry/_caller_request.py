"""The request of a caller, independent of the HTTP server."""

import dataclasses

from oriolestage.admission._accounts import Account
from oriolestage.entry._ports import RequestMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One complete request of a caller."""

    metadata: RequestMetadata
    method: str
    #: Host name of the Host header, without the port.
    host: str
    #: Path and query as received, not normalised.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Monotonic time at which its head was read, in seconds.
    arrived_at: float
    #: Time that the caller loses to the network for the request, response
    #: and connection set-up included, in seconds.
    network_delay_s: float
    #: Hash of the request's content, and of its account if it has one; equal
    #: for repeated requests.
    fingerprint: int
    #: The client account by whose key it was sent; None without one.
    account: Account | None = None
