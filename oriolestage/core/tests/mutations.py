"""Seeded mutations of encoded messages and values."""

import json
import random
from collections.abc import Callable

import msgspec

#: Depths of nested lists that are inserted.
DEPTHS = (3, 1_000, 50_000)
#: Values that replace a part of a message or value.
PARTS: tuple[object, ...] = (
    None,
    True,
    0,
    -1,
    1,
    (1 << 31) - 1,
    (1 << 53),
    (1 << 63) - 1,
    -(1 << 63),
    (1 << 64) - 1,
    1.5,
    float('nan'),
    float('inf'),
    '',
    'x',
    '²',
    'x' * 5000,
    '127.0.0.1:65535',
    '127.0.0.1:65536',
    'entry-1',
    b'',
    b'\xff\xfe',
    [],
    {},
    [[]],
)

Mutation = Callable[[random.Random, bytes], bytes]


def mutate(randomness: random.Random, content: bytes) -> bytes:
    """Return a variant of an encoded message or value.

    One to three mutations of bytes, of parts or of the nesting are applied.
    """
    for _ in range(randomness.randint(1, 3)):
        content = randomness.choice(MUTATIONS)(randomness, content)
    return content


def _flip_bits(randomness: random.Random, content: bytes) -> bytes:
    mutated = bytearray(content)
    for _ in range(randomness.randint(1, 4)):
        if mutated:
            index = randomness.randrange(len(mutated))
            mutated[index] ^= 1 << randomness.randrange(8)
    return bytes(mutated)


def _replace_range(randomness: random.Random, content: bytes) -> bytes:
    start = randomness.randint(0, len(content))
    end = min(len(content), start + randomness.randint(0, 8))
    inserted = randomness.randbytes(randomness.randint(0, 8))
    return content[:start] + inserted + content[end:]


def _cut_off(randomness: random.Random, content: bytes) -> bytes:
    return content[: randomness.randint(0, len(content))]


def _insert_digits(randomness: random.Random, content: bytes) -> bytes:
    start = randomness.randint(0, len(content))
    digits = b'9' * randomness.choice((20, 400, 5000))
    return content[:start] + digits + content[start:]


def _insert_deep_lists(randomness: random.Random, content: bytes) -> bytes:
    start = randomness.randint(0, len(content))
    depth = randomness.choice(DEPTHS)
    opening, closing = randomness.choice(
        ((b'[', b']'), (b'\x91', b''), (b'{"x":', b'}'))
    )
    nested = opening * depth + closing * depth
    return content[:start] + nested + content[start:]


def _replace_part(randomness: random.Random, content: bytes) -> bytes:
    """Replace a random part of a MessagePack or JSON value."""
    try:
        decoded = msgspec.msgpack.decode(content)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return _replace_json_part(randomness, content)
    return msgspec.msgpack.encode(_replaced(randomness, decoded))


def _replace_json_part(randomness: random.Random, content: bytes) -> bytes:
    try:
        decoded = msgspec.json.decode(content)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return _flip_bits(randomness, content)
    replaced = _replaced(randomness, decoded)
    return json.dumps(replaced, default=repr).encode()


def _replaced(randomness: random.Random, decoded: object) -> object:
    """Return a value in which one part, or the length of one, is changed."""
    if isinstance(decoded, list) and decoded and randomness.randrange(10):
        parts = list(decoded)
        index = randomness.randrange(len(parts))
        if not randomness.randrange(10):
            parts.insert(index, parts[index])
            return parts
        parts[index] = _replaced(randomness, parts[index])
        return parts
    if isinstance(decoded, dict) and decoded and randomness.randrange(10):
        fields = dict(decoded)
        name = randomness.choice(sorted(fields, key=repr))
        fields[name] = _replaced(randomness, fields[name])
        return fields
    return randomness.choice(PARTS)


MUTATIONS: tuple[Mutation, ...] = (
    _flip_bits,
    _replace_range,
    _cut_off,
    _insert_digits,
    _insert_deep_lists,
    _replace_part,
    _replace_part,
    _replace_part,
)
