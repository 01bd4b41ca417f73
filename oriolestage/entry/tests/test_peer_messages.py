"""Tests of messages between hosts of different versions."""

import unittest

import msgspec

from oriolestage.entry._peer_messages import (
    GatherDeclined,
    GatherReply,
    Pong,
    RelayAnswered,
    decode_from_peer,
    encode,
)


class OlderDeclined(
    msgspec.Struct, frozen=True, array_like=True, tag='declined'
):
    """A decline of a host that does not tell which targets it reaches."""

    number: int
    retry_after_ms: dict[str, int]
    final: bool
    revision: int
    age_ms: int


class OlderPong(msgspec.Struct, frozen=True, array_like=True, tag='pong'):
    """A pong of such a host."""

    revision: int
    age_ms: int


class OlderReply(msgspec.Struct, frozen=True, array_like=True, tag='reply'):
    """A reply of a host that tells neither the era nor who leaves."""

    number: int
    signatures: dict[str, str]
    body: bytes
    bodies: dict[str, bytes]
    failed: tuple[str, ...]
    final: bool
    work_s: float
    revision: int
    age_ms: int


class OlderRelayAnswered(
    msgspec.Struct, frozen=True, array_like=True, tag='relay_answered'
):
    """The answer of a target, from such a host."""

    number: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signature: str


class VersionsTest(unittest.TestCase):
    """Hosts understand one another while they are replaced one by one."""

    def test_messages_of_older_hosts(self) -> None:
        """What an older host does not tell is not assumed."""
        self.assertEqual(
            decode_from_peer(msgspec.msgpack.encode(OlderPong(7, 5))),
            Pong(7, 5, cut_off=None),
        )
        reply = OlderReply(1, {'s': 't'}, b'r', {}, (), True, 0.1, 7, 5)
        self.assertEqual(
            decode_from_peer(msgspec.msgpack.encode(reply)),
            GatherReply(1, {'s': 't'}, b'r', {}, (), True, 0.1, 7, 5),
        )
        relayed = OlderRelayAnswered(1, 200, (), b'r', 't')
        self.assertEqual(
            decode_from_peer(msgspec.msgpack.encode(relayed)),
            RelayAnswered(1, 200, (), b'r', 't', leaving=''),
        )
        older = OlderDeclined(1, {'shard-0': 10}, True, 7, 5)
        self.assertEqual(
            decode_from_peer(msgspec.msgpack.encode(older)),
            GatherDeclined(1, {'shard-0': 10}, True, 7, 5, unreachable=()),
        )

    def test_messages_to_older_hosts(self) -> None:
        """An older host ignores the fields that it does not know."""
        older = msgspec.msgpack.Decoder(
            OlderPong | OlderDeclined | OlderReply | OlderRelayAnswered
        )
        reply = GatherReply(
            1, {}, b'', {}, (), True, 0.1, 7, 5, era=2, leaving=('i-1',)
        )
        self.assertEqual(
            older.decode(encode(reply)),
            OlderReply(1, {}, b'', {}, (), True, 0.1, 7, 5),
        )
        relayed = RelayAnswered(1, 200, (), b'r', 't', leaving='i-1')
        self.assertEqual(
            older.decode(encode(relayed)),
            OlderRelayAnswered(1, 200, (), b'r', 't'),
        )
        self.assertEqual(
            older.decode(encode(Pong(7, 5, cut_off=True, era=2))),
            OlderPong(7, 5),
        )
        declined = GatherDeclined(
            1, {}, True, 7, 5, unreachable=('shard-0',), era=2
        )
        self.assertEqual(
            older.decode(encode(declined)), OlderDeclined(1, {}, True, 7, 5)
        )
