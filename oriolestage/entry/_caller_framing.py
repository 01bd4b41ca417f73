"""Tells whether the length of a caller's request, or an answer, is known.

The parser accepts some heads whose body it takes for another one than the
caller sent.
"""

import asyncio
from collections.abc import Sequence

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import (
    HttpVersion,
    HttpVersion10,
    HttpVersion11,
    RawRequestMessage,
)
from aiohttp.streams import StreamReader

#: The only transfer coding that is decoded.
CHUNKED = 'chunked'
#: Method whose requests name an authority in place of a path.
CONNECT = 'CONNECT'
#: Length that the parser takes for none, in bytes.
UNKNOWN_LENGTH = 0xFFFFFFFFFFFFFFFF
#: Versions that are answered in kind; others are answered in the first one.
VERSIONS = (HttpVersion10, HttpVersion11)
#: What lies between the name and the value of a header.
SEPARATOR = ': '
LINE_END_BYTES = 2
#: Key in a request of the version that the caller stated.
STATED_VERSION = web.RequestKey('stated_version', HttpVersion)


class UnknownBodyError(ValueError):
    """The body of a request cannot be told from what follows it."""


def build_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: web.RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    """Build a request whose answer has a version of HTTP/1."""
    known = message.version in VERSIONS
    request = web.BaseRequest(
        message if known else message._replace(version=VERSIONS[0]),
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
    )
    request[STATED_VERSION] = message.version
    return request


def check_framing(request: web.BaseRequest) -> None:
    """Raise :class:`UnknownBodyError` if a request's body is not known."""
    if request[STATED_VERSION] not in VERSIONS:
        raise UnknownBodyError('only HTTP/1.0 and HTTP/1.1 are supported')
    if request.method == CONNECT:
        # The parser takes everything that follows for a tunnel.
        raise UnknownBodyError('CONNECT is not supported')
    codings = request.headers.getall('Transfer-Encoding', ())
    if codings and [text.lower() for text in codings] != [CHUNKED]:
        raise UnknownBodyError('only the transfer coding chunked is supported')
    if request.content_length == UNKNOWN_LENGTH:
        raise UnknownBodyError('length out of range')


def head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's line and headers, in bytes."""
    line = f'{request.method} {request.raw_path} HTTP/1.1'
    return len(line) + sum(
        LINE_END_BYTES + len(name) + len(SEPARATOR) + len(text)
        for name, text in request.raw_headers
    )


def expects_continue(request: web.BaseRequest) -> bool:
    """Return whether a caller waits before it sends a body.

    HTTP/1.0 has no interim answers (RFC 9110, section 10.1.1).
    """
    expected = request.headers.get('Expect', '').lower()
    return expected == '100-continue' and request.version >= HttpVersion11


def is_length(stated: Sequence[str]) -> bool:
    """Return whether the values of ``Content-Length`` are one and the same."""
    if len(set(stated)) != 1:
        return False
    return stated[0].isascii() and stated[0].isdigit()
