"""Claims of idempotency keys, as they are stored, and what became of them."""

import dataclasses
from collections.abc import Callable

import msgspec


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The durable fact that one key was claimed."""

    key: str
    fingerprint: int
    #: Identifies the keeper's process and the claim within it.
    holder: str
    #: When the caller made the key, in milliseconds since the epoch.
    created_ms: int


class JournalHead(msgspec.Struct, frozen=True, array_like=True):
    """The value under the head key of a slice."""

    claims: tuple[Claim, ...] = ()
    #: Keys of sealed segments with older claims, oldest first.
    segments: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim took effect; its holder may run the work once."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The key was claimed before."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnconfirmed:
    """The store did not confirm the claim; the work was not run."""


ClaimOutcome = ClaimGranted | ClaimTaken | ClaimUnconfirmed
ClaimCallback = Callable[[ClaimOutcome], None]


def decode_claims(content: bytes) -> tuple[Claim, ...]:
    """Decode the claims of a sealed segment."""
    return msgspec.msgpack.decode(content, type=tuple[Claim, ...])
