"""A caller's request as the entry host reads it."""

import dataclasses

from oriolestage.entry._ports import RequestMetadata


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request as a caller sent it."""

    metadata: RequestMetadata
    method: str
    #: Host name that the caller asks for.
    host: str
    #: Path and query, unchanged.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Steady time at which it was read.
    arrived: float
    #: Time that it and its answer spend on the way, connection set-up
    #: included, in seconds.
    network_delay_s: float
    #: The same for a request that comes again.
    fingerprint: int
