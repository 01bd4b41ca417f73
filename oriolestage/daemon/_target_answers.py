"""Checks that an answer of a target is whole and means something."""

import aiohttp
import msgspec

#: Largest number of digits in a number of a header.
MAX_DIGITS = 15


def is_framed(response: aiohttp.ClientResponse, body: bytes) -> bool:
    """Return whether the end of a body is known, and the body is whole.

    An answer that only the end of its connection ends counts as cut off: the
    HTTP library does not tell a reset from a close.
    """
    headers = response.headers
    codings = headers.getall('Transfer-Encoding', ())
    if codings:
        chunked = [coding.lower() for coding in codings] == ['chunked']
        return chunked and response.version == aiohttp.HttpVersion11
    if response.version not in {aiohttp.HttpVersion10, aiohttp.HttpVersion11}:
        return False
    length = headers.get('Content-Length')
    return length is not None and parse_number(length) == len(body)


def check_rows(body: bytes) -> None:
    """Raise ``ValueError`` unless a body is one JSON value.

    It becomes part of the JSON document that the caller gets.
    """
    body.decode()
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except RecursionError as error:
        raise ValueError('rows are nested too deeply') from error


def parse_number(text: str) -> int:
    """Return a whole number of ASCII digits; raise ``ValueError``.

    ``int`` also accepts signs, underscores and digits of other scripts, and
    any size.
    """
    digits = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if not digits:
        raise ValueError(f'{text[:MAX_DIGITS]!r} is no number in use')
    return int(text)
