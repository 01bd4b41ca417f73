"""Messages between entry hosts, encoded as MessagePack arrays.

The position of a field and the tag of a message are part of the protocol; the
names of fields are not sent. Hosts ignore fields after those that they know.
"""

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec

from oriolestage.entry._header_bytes import (
    latin1_to_text,
    map_headers,
    text_to_latin1,
)
from oriolestage.entry._quota_wire import QuotaMessage, QuotaVerdicts
from oriolestage.routing._answers import TargetAnswer

_Fingerprint = Annotated[int, msgspec.Meta(ge=0)]


class GatherRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='gather',
):
    """Request for one shard of each service; may get several replies."""

    #: Number that identifies the request on its stream.
    number: int
    request_id: str
    route: str
    method: str
    #: Path and query, unchanged from the caller's request.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    services: tuple[str, ...]
    #: Regions whose targets may be used.
    regions: tuple[str, ...]
    #: Largest number of records in a body of a reply.
    top_records: int
    #: True to merge the records of all shards that are in time.
    merged: bool
    #: Only records greater than this one are returned; empty for no bound.
    floor: bytes
    #: Time after which a shard is late while too few siblings have answered
    #: for a comparison, in seconds.
    late_s: float
    #: Expected processing time of a shard of this request, in seconds.
    work_s: float
    #: Time until the deadline of the attempts, in seconds.
    time_left_s: float
    #: True if the id and the texts of the headers have one character for each
    #: byte, since they are no UTF-8.
    latin1: bool = False
    #: True if attempts at these services were made before; they do not go to
    #: a version on trial.
    repeat: bool = False
    #: Fingerprint of the request; 0 from a host that does not tell it.
    fingerprint: _Fingerprint = 0


class GatherCancel(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='cancel',
):
    """Cancels a request of any kind; no further reply is needed."""

    number: int


class GatherReply(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='reply',
):
    """Results of some or all shards of a request."""

    number: int
    #: Signature of each shard that answered, by service.
    signatures: dict[str, str]
    #: Greatest records of those shards together if merged, else empty.
    body: bytes
    #: Greatest records of each shard by service; empty if merged.
    bodies: dict[str, bytes]
    #: Services whose attempts failed.
    failed: tuple[str, ...]
    #: False if late shards follow in further replies.
    final: bool
    #: Median processing time of the shards that answered so far, or the
    #: expected one before the first answer, in seconds.
    work_s: float
    #: Store revision that the replying host knows; 0 if it read none yet.
    revision: int
    #: Time since the store last answered that host, in milliseconds.
    age_ms: int
    #: Era of the revision; None if the store states none, or from a host that
    #: does not tell.
    era: int | None = None
    #: Identities of targets of these shards that say that they leave.
    leaving: tuple[str, ...] = ()
    #: True if the signatures have one character for each byte.
    latin1: bool = False


class GatherDeclined(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='declined',
):
    """Names shards that were not sent to any target."""

    number: int
    #: Time after which a target may be free, in ms, by service.
    retry_after_ms: dict[str, int]
    #: True if no shard of the request was sent to a target.
    final: bool
    revision: int
    age_ms: int
    #: Those of the services whose targets this host does not reach, though
    #: another host may.
    unreachable: tuple[str, ...] = ()
    era: int | None = None


class RelayRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='relay',
):
    """Request to make one attempt at a target of a single service."""

    #: Number that identifies the request on its stream.
    number: int
    request_id: str
    route: str
    service: str
    method: str
    #: Path and query, unchanged from the caller's request.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Regions whose targets may be used; empty for all.
    regions: tuple[str, ...]
    #: True if the request is idempotent.
    repeatable: bool
    #: Time until the deadline of the attempt, in seconds.
    time_left_s: float
    #: As in :class:`GatherRequest`.
    latin1: bool = False
    repeat: bool = False
    fingerprint: _Fingerprint = 0


class RelayAnswered(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='relay_answered',
):
    """The answer of a target, unchanged."""

    number: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signature: str
    #: Identity of the target if it says that it leaves, else empty.
    leaving: str = ''
    #: True if the signature and the texts of the headers have one character
    #: for each byte.
    latin1: bool = False

    @property
    def answer(self) -> TargetAnswer:
        """The answer as the decisions use it."""
        return TargetAnswer(
            self.status, self.headers, self.body, self.signature
        )


class RelayNotRun(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='relay_not_run',
):
    """No target has run the request or will run it."""

    number: int
    #: True if targets are reached and have no capacity.
    shed: bool


class RelayLost(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='relay_lost',
):
    """The request may have run, and there is no answer."""

    number: int
    #: Step at which it was lost, with the cause.
    step: str


RelayReply = RelayAnswered | RelayNotRun | RelayLost


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='ping'):
    """Asks for a :class:`Pong` to check that the stream is alive."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag='pong'):
    """Answers a :class:`Ping`; has the freshness of a :class:`GatherReply`."""

    revision: int
    age_ms: int
    #: True if the host reaches no target; None from a host that cannot tell.
    cut_off: bool | None = None
    era: int | None = None


ToPeer = GatherRequest | GatherCancel | RelayRequest | Ping | QuotaMessage
FromPeer = GatherReply | GatherDeclined | RelayReply | Pong | QuotaVerdicts

_Message = TypeVar('_Message', bound=ToPeer | FromPeer)

_encoder = msgspec.msgpack.Encoder()
_to_peer_decoder: msgspec.msgpack.Decoder[ToPeer] = msgspec.msgpack.Decoder(
    ToPeer,
)
_from_peer_decoder: msgspec.msgpack.Decoder[FromPeer] = msgspec.msgpack.Decoder(
    FromPeer
)


def encode(message: ToPeer | FromPeer) -> bytes:
    """Return the MessagePack form of a message.

    Raises ``ValueError`` or ``OverflowError`` if it has none.
    """
    try:
        return _encoder.encode(message)
    except UnicodeEncodeError:
        return _encoder.encode(_convert(message, text_to_latin1, latin1=True))


def decode_to_peer(payload: bytes) -> ToPeer:
    """Return the message that a host received as a server.

    Raises ``ValueError`` or ``RecursionError`` for anything else.
    """
    message = _to_peer_decoder.decode(payload)
    if isinstance(message, GatherRequest | RelayRequest) and message.latin1:
        return _convert(message, latin1_to_text, latin1=False)
    return message


def decode_from_peer(payload: bytes) -> FromPeer:
    """Return the message that a host received as a client.

    Raises ``ValueError`` or ``RecursionError`` for anything else.
    """
    message = _from_peer_decoder.decode(payload)
    if isinstance(message, GatherReply | RelayAnswered) and message.latin1:
        return _convert(message, latin1_to_text, latin1=False)
    return message


def _convert(
    message: _Message, convert: Callable[[str], str], *, latin1: bool
) -> _Message:
    """Return a message with converted texts of HTTP headers."""
    match message:
        case GatherRequest() | RelayRequest():
            return msgspec.structs.replace(
                message,
                request_id=convert(message.request_id),
                headers=map_headers(convert, message.headers),
                latin1=latin1,
            )
        case GatherReply():
            signatures = message.signatures.items()
            return msgspec.structs.replace(
                message,
                signatures={name: convert(text) for name, text in signatures},
                latin1=latin1,
            )
        case RelayAnswered():
            return msgspec.structs.replace(
                message,
                headers=map_headers(convert, message.headers),
                signature=convert(message.signature),
                latin1=latin1,
            )
    return message
