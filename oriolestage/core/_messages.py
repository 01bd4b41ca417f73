"""Messages between hosts, and their encoding.

Messages are frozen structs, encoded as MessagePack arrays. Gossip messages
carry membership and configuration over ``pynng``, at a rate that does not
depend on the load. Data messages carry requests and replies over one stream
for each pair of hosts.
"""

import enum

import msgspec

from oriolestage.core._decoding import decode_with
from oriolestage.core._field_types import Address, Count, HostName
from oriolestage.core.configuration._changes import RevisionRecord
from oriolestage.core.configuration._configuration import Configuration
from oriolestage.core.queries._outcomes import CallerOutcome, ShardOutcome


class MemberState(enum.IntEnum):
    """State of a member in a host's view.

    Of two states of the same incarnation, the higher value wins.
    """

    ALIVE = 0
    #: Draining before a planned stop; owns no targets.
    LEAVING = 1
    #: Did not answer a probe, and has not refuted the suspicion yet.
    SUSPECT = 2
    DEAD = 3
    #: Dead and no longer in the platform's host list, or left as planned.
    REMOVED = 4


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One host, as seen by the sender."""

    name: HostName
    #: Address for gossip messages, as ``ip:port``.
    gossip_address: Address
    #: Address for data streams, as ``ip:port``.
    data_address: Address
    data_centre: str
    #: Start of the process in milliseconds since the epoch, plus one for
    #: each change of state that the host itself announced, such as a
    #: refuted suspicion. A restarted host counts as a new member.
    incarnation: Count
    state: MemberState = MemberState.ALIVE


class CrashMark(msgspec.Struct, frozen=True, array_like=True):
    """A target was lost while it ran a request with this fingerprint."""

    fingerprint: int
    target: str
    #: Time between the loss and sending the message, in milliseconds.
    age_ms: Count


class GossipHeader(msgspec.Struct, frozen=True, array_like=True):
    """State that is piggybacked on every probe and acknowledgement."""

    #: Name of the sending host.
    sender: str
    #: Incarnation of the sending host.
    incarnation: Count
    #: Configuration revision in force at the sender.
    revision: Count
    #: Age of the sender's last proof that the store is reachable, in
    #: milliseconds.
    store_age_ms: Count
    #: Membership updates, the least often sent first.
    members: tuple[Member, ...] = ()
    #: Recent crashes of targets.
    crashes: tuple[CrashMark, ...] = ()


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Probes a member."""

    header: GossipHeader
    #: Number of the probe, returned in the acknowledgement.
    sequence: int
    #: Member on whose behalf the probe is sent, or empty.
    relayed_for: str = ''


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledges a probe."""

    header: GossipHeader
    sequence: int
    #: Member that was probed and is alive.
    subject: str


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a member to probe ``subject`` on behalf of the sender."""

    header: GossipHeader
    sequence: int
    subject: str


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks for the whole member list; sent by a joining host."""

    member: Member
    revision: Count


class SyncReply(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Returns all members known to the sender."""

    sender: str
    members: tuple[Member, ...]
    revision: Count


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks for the configuration changes after a revision."""

    sender: str
    have_revision: Count


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Returns the records after the requested revision, or the document."""

    sender: str
    records: tuple[RevisionRecord, ...] = ()
    document: Configuration | None = None


class RevisionQuery(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Asks a member which revision is in force there."""

    sender: str
    sequence: int


class RevisionReport(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Reports the revision in force at the sender."""

    sender: str
    sequence: int
    revision: Count


class ShardEntry(msgspec.Struct, frozen=True, array_like=True):
    """One shard request of a batch."""

    #: Unique within the entry host's process.
    attempt: int
    target: str


class ShardBatch(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Sends an owner the shard requests of one caller request."""

    sender: str
    #: Identifier of the caller's request, unchanged at every hop.
    request_id: str
    #: The caller, for fair queueing between callers.
    caller: str
    fingerprint: int
    route: str
    body: bytes
    #: Index version to read, or 0 for the newest.
    version: Count
    #: Time left until the deadline, in milliseconds.
    timeout_ms: Count
    #: False if the work must not be started more than once.
    idempotent: bool
    entries: tuple[ShardEntry, ...]
    #: Configuration revision at the sender.
    revision: Count


class ShardReply(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of one shard request."""

    attempt: int
    outcome: ShardOutcome
    #: Index versions that the target serves; empty if unknown.
    versions: tuple[int, ...] = ()
    #: True if the request had to queue for a free slot of the target.
    queued: bool = False


class ShardReplies(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Returns outcomes of shard requests to the entry host."""

    sender: str
    replies: tuple[ShardReply, ...]
    revision: Count


class CancelAttempts(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Cancels shard requests whose answers are no longer needed."""

    sender: str
    attempts: tuple[int, ...]


class AcquireTargets(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Asks the former owner of targets to release them."""

    sender: str
    targets: tuple[str, ...]


class TargetsReleased(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Confirms that the sender has no calls in flight to the targets."""

    sender: str
    targets: tuple[str, ...]


class TargetLeaving(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Tells the owner of a target whether the host list marks it leaving."""

    sender: str
    target: str
    #: False once the list no longer marks the target as leaving.
    leaving: bool = True


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Asks the owner of an idempotency key for the right to run it."""

    sender: str
    #: Unique at the sending host.
    claim: int
    key: str
    #: Time at which the caller created the key, in ms since the epoch.
    created_ms: Count
    #: Fingerprint of the request, to detect a key reused for another one.
    fingerprint: int
    timeout_ms: Count


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Grants the right to run a key once, or refuses it.

    A refusal carries the outcome for the caller, if it is known.
    """

    sender: str
    claim: int
    granted: bool
    outcome: CallerOutcome | None = None


class ClaimResult(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Reports the outcome of a granted run to the owner of the key."""

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
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode_gossip(payload: bytes) -> GossipMessage:
    """Decode a gossip message; raise `MalformedError`."""
    return decode_with(_gossip_decoder.decode, payload)


def decode_data(payload: bytes) -> DataMessage:
    """Decode a data message; raise `MalformedError`."""
    return decode_with(_data_decoder.decode, payload)
