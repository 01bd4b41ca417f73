"""Tests of decoding and handling malformed messages between hosts."""

import unittest

import msgspec

from oriolestage.core import MalformedError, MemberState, encode_message
from oriolestage.core._messages import (
    Ping,
    SyncRequest,
    decode_data,
    decode_gossip,
)
from oriolestage.core.tests.messages import (
    data_messages,
    gossip_messages,
    peer_member,
    replace_part,
)
from oriolestage.core.tests.nodes import SimulatedNode, Timeline
from scenarios.fake_store import FakeStore

#: Lists nested deeper than any recursion limit of a decoder.
DEEP_LISTS = b'\x91' * 100_000
#: Largest number of MessagePack.
LARGEST = (1 << 64) - 1


class DecodingTest(unittest.TestCase):
    """Each malformed message raises one type of error."""

    def test_good_messages(self) -> None:
        """What a host sends can be decoded."""
        for gossip in gossip_messages():
            with self.subTest(type(gossip).__name__):
                payload = encode_message(gossip)
                self.assertEqual(decode_gossip(payload), gossip)
        for message in data_messages():
            with self.subTest(type(message).__name__):
                payload = encode_message(message)
                self.assertEqual(decode_data(payload), message)

    def test_deep_lists(self) -> None:
        """Guards against errors of decoders that callers do not expect.

        Lists after the known fields are skipped, which raised RecursionError.
        """
        for gossip in gossip_messages():
            with self.subTest(type(gossip).__name__):
                with self.assertRaises(MalformedError):
                    decode_gossip(_with_deep_lists(gossip))
        for message in data_messages():
            with self.subTest(type(message).__name__):
                with self.assertRaises(MalformedError):
                    decode_data(_with_deep_lists(message))

    def test_values_out_of_range(self) -> None:
        """Guards against values that fail later, such as when they are sent.

        The error names the position of the value.
        """
        ping = encode_message(gossip_messages()[0])
        member = (1, 4, 0)
        cases = (
            ('incarnation', (*member, 4), LARGEST),
            ('negative incarnation', (*member, 4), -1),
            ('port', (*member, 1), '127.0.0.1:70000'),
            ('port 0', (*member, 2), '127.0.0.1:0'),
            ('no port', (*member, 2), '127.0.0.1'),
            ('digits of another script', (*member, 1), '127.0.0.1:٣'),
            ('name', (*member, 0), ''),
            ('age of the store', (1, 3), -1),
            ('revision', (1, 2), LARGEST),
            ('revision of wrong type', (1, 2), '1'),
        )
        for name, path, value in cases:
            with self.subTest(name):
                position = ''.join(f'[{index}]' for index in path)
                payload = replace_part(ping, path, value)
                with self.assertRaises(MalformedError) as raised:
                    decode_gossip(payload)
                self.assertIn(f'`${position}`', str(raised.exception))

    def test_not_utf8(self) -> None:
        """Text that is not UTF-8 is malformed."""
        ping = encode_message(gossip_messages()[0])
        with self.assertRaises(MalformedError):
            decode_gossip(ping.replace(b'entry-2', b'entry\xff\xfe'))


class HandlingTest(unittest.TestCase):
    """Messages that can be decoded do not break the receiver."""

    def setUp(self) -> None:
        """Start a host."""
        self.timeline = Timeline()
        store = FakeStore(self.timeline.call_later)
        self.node = SimulatedNode.build(self.timeline, store)
        self.timeline.run_for(2)

    def test_unknown_member_that_is_dead(self) -> None:
        """Guards against a KeyError for a member that is not added."""
        for state in MemberState:
            with self.subTest(state.name):
                member = peer_member(f'entry-{state.value + 2}', state)
                self.node.core.on_gossip(
                    self.timeline.now, SyncRequest(member, 0)
                )
                self.node.execute_effects()

    def test_largest_incarnation_of_this_host(self) -> None:
        """Guards against refutations that no host can encode or accept."""
        ping = gossip_messages()[0]
        assert isinstance(ping, Ping)
        accused = msgspec.structs.replace(
            peer_member('entry-1', MemberState.SUSPECT),
            incarnation=9_000_000_000_000_000,
        )
        header = msgspec.structs.replace(
            ping.header, members=(accused, peer_member())
        )
        payload = encode_message(msgspec.structs.replace(ping, header=header))
        now = self.timeline.now
        self.node.core.on_gossip(now, decode_gossip(payload))
        self.node.execute_effects()
        for message in self.node.gossip_sent():
            self.assertEqual(decode_gossip(encode_message(message)), message)


def _with_deep_lists(message) -> bytes:
    """Return a message with a deeply nested list after its last field."""
    encoded = encode_message(message)
    return bytes([encoded[0] + 1]) + encoded[1:] + DEEP_LISTS
