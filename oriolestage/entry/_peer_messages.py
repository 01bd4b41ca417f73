"""Messages between entry hosts, as MessagePack arrays."""

import msgspec


class GatherRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='gather',
):
    """Gather one shard of each service."""

    #: Number of the request on its link.
    number: int
    request_id: str
    route: str
    method: str
    #: Path and query as the caller sent them.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    services: tuple[str, ...]
    #: Regions whose targets may be used.
    regions: tuple[str, ...]
    top_records: int
    #: True to merge the records of all shards.
    merged: bool
    #: Records that do not exceed this one are not wanted; empty: all are.
    floor: bytes
    #: Work after which a shard is late before its siblings answered, and
    #: the work that this request takes as far as it is known, in seconds.
    late_s: float
    work_s: float
    #: Time that the caller still waits, in seconds.
    time_left_s: float


class GatherCancel(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='cancel',
):
    """Stop gathering; no reply is wanted."""

    number: int


class GatherReply(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='reply',
):
    """What was gathered."""

    number: int
    #: Signature of each shard that answered, by service.
    signatures: dict[str, str]
    #: The greatest records of those shards together, if they are merged.
    body: bytes
    #: The greatest records of each shard by service, if they are not.
    bodies: dict[str, bytes]
    #: Services whose shards ended without an answer.
    failed: tuple[str, ...]
    #: False if late shards may still follow in further replies.
    final: bool
    #: Work of the shards that answered, in seconds.
    work_s: float
    #: Last revision of the store that the host knows, and the time since
    #: the store last answered it, in milliseconds.
    revision: int
    age_ms: int


class GatherDeclined(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='declined',
):
    """Shards that do not get the request."""

    number: int
    #: Time after which a shard may have room, in milliseconds, by service.
    retry_after_ms: dict[str, int]
    #: True if no other shard got the request either.
    final: bool
    revision: int
    age_ms: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='ping'):
    """Ask whether the stream is alive."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag='pong'):
    """The stream is alive."""

    revision: int
    age_ms: int


ToPeer = GatherRequest | GatherCancel | Ping
FromPeer = GatherReply | GatherDeclined | Pong

_encoder = msgspec.msgpack.Encoder()
_to_peer_decoder: msgspec.msgpack.Decoder[ToPeer] = msgspec.msgpack.Decoder(
    ToPeer,
)
_from_peer_decoder: msgspec.msgpack.Decoder[FromPeer] = msgspec.msgpack.Decoder(
    FromPeer
)


def encode(message: ToPeer | FromPeer) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_to_peer(payload: bytes) -> ToPeer:
    """Decode a message to a host; raises ``msgspec.DecodeError``."""
    return _to_peer_decoder.decode(payload)


def decode_from_peer(payload: bytes) -> FromPeer:
    """Decode a message of a host; raises ``msgspec.DecodeError``."""
    return _from_peer_decoder.decode(payload)
