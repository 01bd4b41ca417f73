"""Tests of messages between hosts of different versions."""

import unittest

import msgspec

from oriolestage.entry._peer_messages import (
    GatherDeclined,
    GatherReply,
    Pong,
    RelayAnswered,
    RelayRequest,
    decode_from_peer,
    decode_to_peer,
    encode,
)
from oriolestage.entry.tests.peer_requests import make_gather_request


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


class OlderRelayRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='relay'
):
    """A relayed request, from or to a host that expects headers in UTF-8."""

    number: int
    request_id: str
    route: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    regions: tuple[str, ...]
    repeatable: bool
    time_left_s: float


#: Texts of headers as the HTTP parser has them.
HEADER_TEXTS = (
    'plain',
    'caf\u00e9',
    'caf\udce9',
    '\u00e9\udce9\u4e2d\udcff',
    ''.join(chr(0xDC00 + byte) for byte in range(0x80, 0x100)),
)


def _make_relay_request(text: str) -> RelayRequest:
    return RelayRequest(
        number=1,
        request_id=text,
        route='r',
        service='s',
        method='GET',
        path='/x',
        headers=(('X-Name', text),),
        body=b'\xff',
        regions=('dc-a',),
        repeatable=True,
        time_left_s=2.0,
    )


class HeaderBytesTest(unittest.TestCase):
    """Headers with any bytes reach the other host unchanged."""

    def test_requests(self) -> None:
        """Guards against a batch or a relayed request that is not sent.

        One header that is no UTF-8 could not be encoded.
        """
        for text in HEADER_TEXTS:
            gather = make_gather_request(
                request_id=text, headers=(('X-Name', text),)
            )
            for request in (gather, _make_relay_request(text)):
                with self.subTest(text=ascii(text), kind=type(request)):
                    decoded = decode_to_peer(encode(request))
                    self.assertEqual(decoded, request)

    def test_replies(self) -> None:
        """Guards against an answer that is lost on its way back."""
        for text in HEADER_TEXTS:
            gathered = GatherReply(
                1, {'s': text}, b'\xff', {}, (), True, 0.1, 7, 5
            )
            relayed = RelayAnswered(1, 200, (('X', text),), b'\xff', text)
            for reply in (gathered, relayed):
                with self.subTest(text=ascii(text), kind=type(reply)):
                    decoded = decode_from_peer(encode(reply))
                    self.assertEqual(decoded, reply)

    def test_older_host(self) -> None:
        """An older host reads UTF-8 unchanged, and other bytes as Latin-1."""
        older = msgspec.msgpack.Decoder(OlderRelayRequest)
        for text, read in (
            ('caf\u00e9', 'caf\u00e9'),
            ('caf\udce9', 'caf\u00e9'),
        ):
            with self.subTest(text=ascii(text)):
                request = older.decode(encode(_make_relay_request(text)))
                self.assertEqual(request.headers, (('X-Name', read),))
        sent = msgspec.msgpack.encode(
            OlderRelayRequest(
                1, 'a', 'r', 's', 'GET', '/x', (), b'', (), True, 2.0
            )
        )
        self.assertFalse(msgspec.structs.asdict(decode_to_peer(sent))['latin1'])

    def test_no_bytes(self) -> None:
        """A message that claims to hold bytes and does not is refused."""
        request = msgspec.structs.replace(
            _make_relay_request('\u4e2d'), latin1=True
        )
        with self.assertRaises(ValueError):
            decode_to_peer(encode(request))


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
