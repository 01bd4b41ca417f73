"""Tells whether the length of a caller's request, or an answer, is known.

The parser accepts some heads whose body it takes for another one than the
caller sent.
"""

from collections.abc import Sequence

from aiohttp import web

#: The only transfer coding that is decoded.
CHUNKED = 'chunked'
#: Method whose requests name an authority in place of a path.
CONNECT = 'CONNECT'
#: Length that the parser takes for none, in bytes.
UNKNOWN_LENGTH = 0xFFFFFFFFFFFFFFFF


class UnknownBodyError(ValueError):
    """The body of a request cannot be told from what follows it."""


def check_framing(request: web.BaseRequest) -> None:
    """Raise :class:`UnknownBodyError` if a request's body is not known."""
    if request.method == CONNECT:
        # The parser takes everything that follows for a tunnel.
        raise UnknownBodyError('CONNECT is not supported')
    codings = request.headers.getall('Transfer-Encoding', ())
    if codings and [text.lower() for text in codings] != [CHUNKED]:
        raise UnknownBodyError('only the transfer coding chunked is supported')
    if request.content_length == UNKNOWN_LENGTH:
        raise UnknownBodyError('length out of range')


def is_length(stated: Sequence[str]) -> bool:
    """Return whether the values of ``Content-Length`` are one and the same."""
    if len(set(stated)) != 1:
        return False
    return stated[0].isascii() and stated[0].isdigit()
