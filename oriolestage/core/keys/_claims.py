"""Claims of idempotency keys, as they are stored, and their outcomes."""

import dataclasses
from collections.abc import Callable

import msgspec

from oriolestage.core._decoding import decode_msgpack
from oriolestage.core._field_types import Count


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The stored record that a key was claimed."""

    key: str
    #: Fingerprint of the request, to detect a key used for another request.
    fingerprint: int
    #: Names the process that owned the key and the claim within it, as
    #: ``HOST/INCARNATION/NUMBER``.
    holder: str
    #: When the caller made the key, in milliseconds since the epoch.
    created_ms: Count


class JournalHead(msgspec.Struct, frozen=True, array_like=True):
    """The value of the head key of a slice: its latest claims."""

    claims: tuple[Claim, ...] = ()
    #: Store keys of the sealed segments that hold older claims, oldest first.
    segments: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim is durable; the claimant may run the work once."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The key was already claimed, by ``claim``."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnconfirmed:
    """The store did not confirm the claim, so the work must not run.

    The claim may still be in the journal.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimExpired:
    """The key expired while its claim waited, so the work must not run."""


ClaimOutcome = ClaimGranted | ClaimTaken | ClaimUnconfirmed | ClaimExpired
ClaimCallback = Callable[[ClaimOutcome], None]


def decode_claims(content: bytes) -> tuple[Claim, ...]:
    """Decode the claims of a sealed segment; raise `MalformedError`."""
    return decode_msgpack(content, tuple[Claim, ...])


def decode_head(content: bytes) -> JournalHead:
    """Decode the head of a journal; raise `MalformedError`."""
    return decode_msgpack(content, JournalHead)
