"""The messages between hosts, and their encoding.

Messages are small frozen structs encoded as MessagePack arrays. Gossip
messages are few and go over ``pynng``; data messages follow the query load
and go over one stream for each pair of hosts.
"""

import enum

import msgspec

from oriolestage.core.configuration._changes import RevisionRecord
from oriolestage.core.configuration._configuration import Configuration
from oriolestage.core.queries._outcomes import CallerOutcome, ShardOutcome


class MemberState(enum.IntEnum):
    """What a member is believed to be; the later overrides the earlier."""

    ALIVE = 0
    #: Finishing its work before a planned stop; owns no target.
    LEAVING = 1
    #: Missed a probe and did not yet refute it.
    SUSPECT = 2
    DEAD = 3
    #: Gone from the platform's host list as well.
    REMOVED = 4


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one host."""

    name: str
    #: Where it takes gossip, as ``ip:port``.
    gossip_address: str
    #: Where it takes data streams, as ``ip:port``.
    data_address: str
    data_centre: str
    #: Start of the process in milliseconds since the epoch, plus one for
    #: each suspicion it refuted; a replaced host is a new member.
    incarnation: int
    state: MemberState = MemberState.ALIVE


class CrashMark(msgspec.Struct, frozen=True, array_like=True):
    """One target was lost while it ran one request fingerprint."""

    fingerprint: int
    target: str
    #: Age of the loss when the message was sent, in milliseconds.
    age_ms: int


class GossipHeader(msgspec.Struct, frozen=True, array_like=True):
    """What every probe carries besides its own purpose."""

    #: Name of the sending host.
    sender: str
    #: Incarnation of the sending host.
    incarnation: int
    #: Configuration revision in force at the sender.
    revision: int
    #: Time since the store was known to be reachable, in milliseconds.
    store_age_ms: int
    #: News about members, the least often sent first.
    members: tuple[Member, ...] = ()
    crashes: tuple[CrashMark, ...] = ()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a member whether it is alive."""

    header: GossipHeader
    #: Chosen by the prober, repeated in the acknowledgement.
    sequence: int
    #: Member for which the probe is relayed, or empty.
    relayed_for: str = ''


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a probe."""

    header: GossipHeader
    sequence: int
    #: Member whose life the probe showed.
    subject: str


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a member to probe another one."""

    header: GossipHeader
    sequence: int
    subject: str


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks for all members; sent by a host that joins."""

    member: Member
    revision: int


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """All members known to the sender."""

    sender: str
    members: tuple[Member, ...]
    revision: int


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks for what follows a revision."""

    sender: str
    have_revision: int


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Records that follow the revision asked for, or a whole document."""

    sender: str
    records: tuple[RevisionRecord, ...] = ()
    document: Configuration | None = None


class RevisionQuery(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Asks which revision is in force at a member."""

    sender: str
    sequence: int


class RevisionReport(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Tells which revision is in force at the sender."""

    sender: str
    sequence: int
    revision: int


class ShardEntry(msgspec.Struct, frozen=True, array_like=True):
    """One shard request within a batch."""

    #: Unique at the entry host over its life.
    attempt: int
    target: str


class ShardBatch(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Shard requests of one caller request for targets of one owner."""

    sender: str
    #: Identifier of the caller's request, the same at every hop.
    request_id: str
    #: The caller, for fairness between callers.
    caller: str
    fingerprint: int
    route: str
    body: bytes
    #: Index version to read, or 0 for the newest.
    version: int
    #: Time left, in milliseconds.
    timeout_ms: int
    #: False when the work must not be started twice.
    idempotent: bool
    entries: tuple[ShardEntry, ...]
    #: Configuration revision at the sender.
    revision: int


class ShardReply(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of one shard request."""

    attempt: int
    outcome: ShardOutcome
    #: Index versions that the target serves, empty when not known.
    versions: tuple[int, ...] = ()
    #: True when the target had no free slot for the request at once.
    queued: bool = False


class ShardReplies(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Outcomes of shard requests."""

    sender: str
    replies: tuple[ShardReply, ...]
    revision: int


class CancelAttempts(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Withdraws shard requests whose answers are no longer wanted."""

    sender: str
    attempts: tuple[int, ...]


class AcquireTargets(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Asks the former owner to release targets."""

    sender: str
    targets: tuple[str, ...]


class TargetsReleased(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Tells that nothing of the sender is in flight on the targets."""

    sender: str
    targets: tuple[str, ...]


class TargetLeaving(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Tells the owner what the host list shows of a target."""

    sender: str
    target: str
    #: False once the list no longer shows it leaving.
    leaving: bool = True


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Asks the keeper of a key for the right to run it."""

    sender: str
    #: Unique at the sending host.
    claim: int
    key: str
    #: Time at which the caller made the key, in ms since the epoch.
    created_ms: int
    #: Fingerprint of the request, to notice a key used for another one.
    fingerprint: int
    timeout_ms: int


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Grants the right to run a key once, or tells its known outcome."""

    sender: str
    claim: int
    granted: bool
    outcome: CallerOutcome | None = None


class ClaimResult(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Tells the keeper how a granted run ended."""

    sender: str
    key: str
    outcome: CallerOutcome


GossipMessage = (
    Ping
    | Ack
    | PingRequest
    | SyncRequest
    | SyncReply
    | ConfigurationRequest
    | ConfigurationReply
    | RevisionQuery
    | RevisionReport
)
DataMessage = (
    ShardBatch
    | ShardReplies
    | CancelAttempts
    | AcquireTargets
    | TargetsReleased
    | ClaimRequest
    | ClaimReply
    | ClaimResult
    | TargetLeaving
)
PeerMessage = GossipMessage | DataMessage

_encoder = msgspec.msgpack.Encoder()
_gossip_decoder = msgspec.msgpack.Decoder(GossipMessage)
_data_decoder = msgspec.msgpack.Decoder(DataMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message for the wire."""
    return _encoder.encode(message)


def decode_gossip(payload: bytes) -> GossipMessage:
    """Decode a message; raises ``msgspec.DecodeError`` when malformed."""
    return _gossip_decoder.decode(payload)


def decode_data(payload: bytes) -> DataMessage:
    """Decode a message; raises ``msgspec.DecodeError`` when malformed."""
    return _data_decoder.decode(payload)
