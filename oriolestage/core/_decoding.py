"""Decoding of bytes from outside, with one type of error.

``msgspec`` raises ``RecursionError`` for deeply nested content, which is not a
``msgspec.DecodeError``. All decoders of stored values, messages and answers
go through this module, so that callers handle one error.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from oriolestage.core._errors import MalformedError

#: Longest text of an error, in characters; it may quote the content.
MAX_ERROR_CHARACTERS = 300
#: Largest number of digits in a number of a request's path or header.
MAX_DIGITS = 15

_Decoded = TypeVar('_Decoded')


def decode_with(
    decode: Callable[[bytes], _Decoded], content: bytes
) -> _Decoded:
    """Decode by a ``msgspec`` decoder; raise `MalformedError`."""
    try:
        return decode(content)
    except RecursionError as error:
        raise MalformedError('nested too deeply') from error
    except (msgspec.DecodeError, ValueError, OverflowError) as error:
        raise MalformedError(str(error)[:MAX_ERROR_CHARACTERS]) from error


def decode_json(content: bytes, expected: type[_Decoded]) -> _Decoded:
    """Decode JSON of a type; raise `MalformedError`."""
    return decode_with(
        lambda encoded: msgspec.json.decode(encoded, type=expected),
        content,
    )


def decode_msgpack(content: bytes, expected: type[_Decoded]) -> _Decoded:
    """Decode MessagePack of a type; raise `MalformedError`."""
    return decode_with(
        lambda encoded: msgspec.msgpack.decode(encoded, type=expected),
        content,
    )


def parse_count(text: str) -> int:
    """Return a whole number of ASCII digits; raise `MalformedError`.

    ``int`` also accepts signs, underscores and digits of other scripts, and
    refuses numbers of more than 4300 digits with another error.
    """
    valid = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if not valid:
        raise MalformedError(
            f'{text[:MAX_DIGITS]!r} is not a number of up to {MAX_DIGITS} '
            'digits',
        )
    return int(text)
