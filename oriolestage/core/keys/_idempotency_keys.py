"""Idempotency keys that carry their time: UUID version 7."""

import uuid

#: Bits of a UUID that follow its 48-bit time.
BITS_AFTER_TIME = 80
#: Fields that follow the time, in bits and in order.
VERSION_BITS = 4
RANDOM_A_BITS = 12
VARIANT_BITS = 2
RANDOM_B_BITS = 62
#: The variant of all standard UUIDs.
VARIANT = 0b10
#: The version of UUIDs that start with their time in milliseconds.
TIMED_UUID_VERSION = 7


def key_created_ms(key: str) -> int | None:
    """Give the time in a key, in ms since the epoch, or None if invalid."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != TIMED_UUID_VERSION or str(parsed) != key.lower():
        return None
    return parsed.int >> BITS_AFTER_TIME


def make_key(created_ms: int, random_bits: int) -> str:
    """Make a key from a time and at least 74 random bits."""
    random_a = random_bits % (1 << RANDOM_A_BITS)
    random_b = (random_bits >> RANDOM_A_BITS) % (1 << RANDOM_B_BITS)
    number = created_ms
    number = (number << VERSION_BITS) | TIMED_UUID_VERSION
    number = (number << RANDOM_A_BITS) | random_a
    number = (number << VARIANT_BITS) | VARIANT
    number = (number << RANDOM_B_BITS) | random_b
    return str(uuid.UUID(int=number))
