"""Idempotency keys: UUIDs of version 7, which contain their creation time."""

import uuid

#: Number of bits that follow the 48-bit time in a UUID.
BITS_AFTER_TIME = 80
#: Widths in bits of the fields that follow the time, in order.
VERSION_BITS = 4
RANDOM_A_BITS = 12
VARIANT_BITS = 2
RANDOM_B_BITS = 62
#: The variant of UUIDs that follow RFC 9562.
VARIANT = 0b10
#: The version of UUIDs that start with a time in milliseconds.
TIMED_UUID_VERSION = 7


def key_created_ms(key: str) -> int | None:
    """Return the creation time of a key, or None if the key is invalid.

    The time is in milliseconds since the epoch. A key is valid when it is a
    UUID of version 7 in its canonical form with hyphens, in any case.
    """
    created_ms = uuid_created_ms(key)
    if created_ms is None or str(uuid.UUID(key)) != key.lower():
        return None
    return created_ms


def uuid_created_ms(text: str) -> int | None:
    """Return the creation time of a UUID of version 7 in any form, or None.

    The time is in milliseconds since the epoch.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != TIMED_UUID_VERSION:
        return None
    return parsed.int >> BITS_AFTER_TIME


def make_key(created_ms: int, random_bits: int) -> str:
    """Build a key from a time and at least 74 random bits.

    ``created_ms`` is in milliseconds since the epoch.
    """
    random_a = random_bits % (1 << RANDOM_A_BITS)
    random_b = (random_bits >> RANDOM_A_BITS) % (1 << RANDOM_B_BITS)
    number = created_ms
    number = (number << VERSION_BITS) | TIMED_UUID_VERSION
    number = (number << RANDOM_A_BITS) | random_a
    number = (number << VARIANT_BITS) | VARIANT
    number = (number << RANDOM_B_BITS) | random_b
    return str(uuid.UUID(int=number))
