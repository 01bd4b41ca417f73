"""Good messages between hosts, and variants of them that are malformed."""

import msgspec

from oriolestage.core import (
    Answered,
    DataMessage,
    GossipMessage,
    KeyRange,
    Member,
    MemberState,
    NotRun,
    Reason,
)
from oriolestage.core._messages import (
    Ack,
    AcquireTargets,
    CancelAttempts,
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ConfigurationReply,
    ConfigurationRequest,
    CrashMark,
    GossipHeader,
    Ping,
    PingRequest,
    RevisionQuery,
    RevisionReport,
    ShardBatch,
    ShardEntry,
    ShardReplies,
    ShardReply,
    SyncReply,
    SyncRequest,
    TargetLeaving,
    TargetsReleased,
)
from oriolestage.core.tests.builders import small_configuration
from oriolestage.core.tests.nodes import document_record

#: Incarnation of the hosts in the messages.
INCARNATION = 1_700_000_000_000


def peer_member(
    name: str = 'entry-2', state: MemberState = MemberState.ALIVE
) -> Member:
    """Build another host."""
    return Member(
        name, '127.0.0.2:7003', '127.0.0.2:7004', 'ege-a', INCARNATION, state
    )


def gossip_messages() -> list[GossipMessage]:
    """Build one gossip message of each kind."""
    header = GossipHeader(
        'entry-2', INCARNATION, 1, 20, (peer_member(),), (CrashMark(7, 't', 3),)
    )
    return [
        Ping(header, 1),
        Ack(header, 1, 'entry-2'),
        PingRequest(header, 1, 'entry-2'),
        SyncRequest(peer_member(), 1),
        SyncReply('entry-2', (peer_member(), peer_member('entry-3')), 1),
        ConfigurationRequest('entry-2', 0),
        ConfigurationReply('entry-2', (document_record(1),)),
        ConfigurationReply('entry-2', (), small_configuration().at_revision(3)),
        RevisionQuery('entry-2', 1),
        RevisionReport('entry-2', 1, 1),
    ]


def data_messages() -> list[DataMessage]:
    """Build one data message of each kind."""
    answer = Answered(1, KeyRange(0, 32768), 1, b'[]')
    refusal = NotRun(Reason.OVERLOADED, 'owner.admission', 'entry-2')
    key = '018bcfe5-6800-7000-8000-000000000001'
    return [
        ShardBatch(
            'entry-2',
            'request-1',
            'caller',
            7,
            'search',
            b'{}',
            0,
            1000,
            True,
            (ShardEntry(1, 'search-0-0'),),
            1,
        ),
        ShardReplies('entry-2', (ShardReply(1, answer, (1,)),), 1),
        CancelAttempts('entry-2', (1,)),
        AcquireTargets('entry-2', ('search-0-0',)),
        TargetsReleased('entry-2', ('search-0-0',)),
        TargetLeaving('entry-2', 'search-0-0'),
        ClaimRequest('entry-2', 1, key, INCARNATION, 7, 1000),
        ClaimReply('entry-2', 1, granted=False, outcome=refusal),
        ClaimResult('entry-2', key, refusal),
    ]


def replace_part(encoded: bytes, path: tuple[int, ...], value) -> bytes:
    """Return a message in which one part, found by indices, has a value."""
    message = msgspec.msgpack.decode(encoded)
    part = message
    for index in path[:-1]:
        part = part[index]
    part[path[-1]] = value
    return msgspec.msgpack.encode(message)
