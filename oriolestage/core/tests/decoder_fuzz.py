"""Checks of decoders with mutations of good input.

Run by hand with fresh seeds, in one process, for a number of seconds::

    python -m oriolestage.core.tests.decoder_fuzz 600
"""

import random
import sys
import time
import traceback
from collections.abc import Callable

import msgspec

from oriolestage.core import MalformedError, decode_json, encode_message
from oriolestage.core._messages import decode_data, decode_gossip
from oriolestage.core.configuration._stored_revisions import (
    decode_record,
    decode_snapshot,
    encode_record,
    encode_snapshot,
)
from oriolestage.core.keys._claims import (
    Claim,
    JournalHead,
    decode_claims,
    decode_head,
)
from oriolestage.core.membership._host_list import decode_host_list
from oriolestage.core.tests.builders import small_configuration
from oriolestage.core.tests.messages import data_messages, gossip_messages
from oriolestage.core.tests.mutations import mutate
from oriolestage.core.tests.nodes import (
    SimulatedNode,
    Timeline,
    document_record,
    put_value,
)
from oriolestage.views import ChangeRequest, build_node_view
from scenarios.fake_store import FakeStore

#: Longest text of an error of a decoder, in characters.
MAX_ERROR_CHARACTERS = 500

Decoder = Callable[[bytes], object]


def _stored_values() -> list[tuple[str, bytes, Decoder]]:
    """Return values that are not messages between hosts, and decoders."""
    claim = Claim('key', 7, 'entry-1/1/1', 1_700_000_000_000)
    record = encode_record(document_record(2))
    entry = {
        'name': 'entry-2',
        'kind': 'entry',
        'address': '127.0.0.2:7003',
        'data_centre': 'ege-a',
    }
    change = ChangeRequest(document_record(1).change, 'tests', 'command-1')
    return [
        ('record', record, lambda content: decode_record(content, 2)),
        (
            'snapshot',
            encode_snapshot(small_configuration().at_revision(3)),
            decode_snapshot,
        ),
        ('claims', msgspec.msgpack.encode((claim, claim)), decode_claims),
        (
            'head',
            msgspec.msgpack.encode(JournalHead((claim,), ('segment',))),
            decode_head,
        ),
        (
            'host list',
            msgspec.json.encode({'hosts': [entry]}),
            decode_host_list,
        ),
        (
            'change',
            msgspec.json.encode(change),
            lambda content: decode_json(content, ChangeRequest),
        ),
    ]


_STORED = _stored_values()
_GOSSIP = tuple(encode_message(message) for message in gossip_messages())
_DATA = tuple(encode_message(message) for message in data_messages())


def check_stored_values(randomness: random.Random) -> None:
    """Decode mutations of stored values and of a change."""
    for name, content, decode in _STORED:
        mutated = mutate(randomness, content)
        _decode(name, mutated, decode)


def check_messages(randomness: random.Random) -> None:
    """Pass mutations of messages to a host, which must stay healthy."""
    node = _start_host({})
    now = node.timeline.now
    for _ in range(5):
        payload = mutate(randomness, randomness.choice(_GOSSIP))
        gossip = _decode('gossip', payload, decode_gossip)
        if gossip is not None:
            node.core.on_gossip(now, gossip)
        payload = mutate(randomness, randomness.choice(_DATA))
        message = _decode('data', payload, decode_data)
        if message is not None:
            node.core.on_data(now, message)
        node.execute_effects()
    node.timeline.run_for(1)
    _check_health(node)


def check_host(randomness: random.Random) -> None:
    """Let a host read mutations of values in its store."""
    good = {name: content for name, content, _ in _STORED}
    node = _start_host(
        {
            'config/revision/0000000002': mutate(randomness, good['record']),
            'config/snapshot': mutate(randomness, good['snapshot']),
        }
    )
    node.store.host_list = mutate(randomness, good['host list'])
    node.timeline.run_for(6)
    _check_health(node)


def _start_host(stored: dict[str, bytes]) -> SimulatedNode:
    timeline = Timeline()
    store = FakeStore(timeline.call_later)
    first = encode_record(document_record(1))
    put_value(store, 'config/revision/0000000001', first, 0)
    for key, content in stored.items():
        put_value(store, key, content, 0)
    node = SimulatedNode.build(timeline, store)
    timeline.run_for(0.5)
    return node


def _check_health(node: SimulatedNode) -> None:
    """Check that the host can still encode what it sends and shows."""
    for message in node.gossip_sent():
        decode_gossip(encode_message(message))
    msgspec.json.encode(build_node_view(node.core))
    assert node.core.configuration.revision >= 1
    assert node.core.failures == 0


def _decode(name: str, content: bytes, decode: Decoder):
    try:
        return decode(content)
    except MalformedError as error:
        assert len(str(error)) < MAX_ERROR_CHARACTERS, name
        return None


#: Checks that take a source of randomness.
CHECKS = (check_stored_values, check_messages, check_host)


def main() -> int:
    """Run all checks until the time is over; return the number of failures."""
    end = time.monotonic() + float(sys.argv[1])
    runs = 0
    failures = 0
    while time.monotonic() < end:
        seed = random.randrange(1 << 32)
        for check in CHECKS:
            runs += 1
            try:
                check(random.Random(seed))
            except Exception:
                failures += 1
                sys.stdout.write(f'{check.__name__} seed={seed}\n')
                traceback.print_exc(limit=-3, file=sys.stdout)
    sys.stdout.write(f'{runs} runs, {failures} failures\n')
    return failures


if __name__ == '__main__':
    sys.exit(bool(main()))
