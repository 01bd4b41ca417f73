"""Tells whether the end of a target's response is known.

The parser accepts some heads that say nothing valid about where the body ends
or how it is coded.
"""

import re

import aiohttp
from aiohttp.http import HttpVersion11, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from oriolestage._statuses import (
    FIRST_FINAL_STATUS,
    FIRST_INTERIM_STATUS,
    InvalidStatusError,
    check_status,
)

#: Major version of HTTP whose messages are framed as here.
HTTP_MAJOR = 1
#: Status line at the end of a text. It is that of the next response if a head
#: breaks off within a line and another one follows.
STATUS_LINE = re.compile(r'HTTP/\d\.\d \d{3}( [^\r\n]*)?$')
#: Start of each status line.
PROTOCOL_NAME = 'HTTP/'
#: The only transfer coding that is decoded.
CHUNKED = 'chunked'


class MalformedResponseError(aiohttp.ClientError):
    """The bytes received are not an HTTP response."""


class StatusResponseError(MalformedResponseError):
    """A response has a status that no response may have."""


class CutOffResponseError(MalformedResponseError):
    """The connection has ended within a response."""


class OversizedResponseError(ValueError):
    """A response is longer than accepted."""


def is_interim(message: RawResponseMessage) -> bool:
    """Return whether another response follows for the same request."""
    return FIRST_INTERIM_STATUS <= message.code < FIRST_FINAL_STATUS


def check_framing(
    message: RawResponseMessage, payload: StreamReader, *, without_body: bool
) -> None:
    """Raise :class:`MalformedResponseError` if a body's end is unknown.

    The same holds for a status that no response may have. ``without_body`` is
    True if the response has no body whatever its headers say.
    """
    if message.version.major != HTTP_MAJOR:
        raise MalformedResponseError(f'version {message.version}')
    try:
        check_status(message.code)
    except InvalidStatusError as error:
        raise StatusResponseError(str(error)) from error
    _check_lines(message)
    if without_body:
        return
    if payload is EMPTY_PAYLOAD:
        # The length is the one that the parser takes for none.
        raise MalformedResponseError('length out of range')
    codings = message.headers.getall('Transfer-Encoding', ())
    if codings and not _is_chunked(message, codings):
        raise MalformedResponseError(f'transfer codings {codings}')


def _check_lines(message: RawResponseMessage) -> None:
    """Raise :class:`MalformedResponseError` for lines of no sound head."""
    if _holds_status_line(message.reason):
        raise MalformedResponseError('status line in the reason phrase')
    for name, text in message.headers.items():
        if name[-1:].isspace():
            # A reader that ignores such a field would look for another end.
            raise MalformedResponseError('space after the name of a field')
        if _holds_status_line(text):
            raise MalformedResponseError(f'status line in {name}')


def _holds_status_line(text: str) -> bool:
    return PROTOCOL_NAME in text and STATUS_LINE.search(text) is not None


def _is_chunked(message: RawResponseMessage, codings: list[str]) -> bool:
    """Return whether the parser has removed the only coding.

    With HTTP/1.0 the length is unknown if there is any (RFC 9112, 6.1).
    """
    if message.version < HttpVersion11 or len(codings) > 1:
        return False
    return message.chunked and codings[0].lower() == CHUNKED
