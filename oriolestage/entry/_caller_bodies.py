"""Reads the bodies of callers' requests with a limit on their length."""

from aiohttp import web

from oriolestage.entry._caller_framing import expects_continue

#: Interim response to a request with ``Expect: 100-continue``.
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class BodyTooLargeError(Exception):
    """The body of a request exceeds the configured limit."""


def expects_body(request: web.BaseRequest) -> bool:
    """Return whether a part of the body has not arrived."""
    return request.can_read_body and not request.content.is_eof()


async def read_body(request: web.BaseRequest, limit: int) -> bytes:
    """Return the body of a request.

    Raises :class:`BodyTooLargeError` if it is longer than ``limit`` bytes,
    before it is read if its length is stated.
    """
    if not request.can_read_body:
        return b''
    if (request.content_length or 0) > limit:
        raise BodyTooLargeError
    if expects_continue(request):
        await request.writer.write(CONTINUE)
    # A list of small pieces would take many times their size.
    body = bytearray()
    async for chunk in request.content.iter_any():
        if len(body) + len(chunk) > limit:
            raise BodyTooLargeError
        if not body and request.content.at_eof():
            return chunk
        body += chunk
    return bytes(body)
