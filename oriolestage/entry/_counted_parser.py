"""Builds the parser of a connection that counts what it holds."""

import asyncio

from aiohttp import web
from aiohttp.http import HttpRequestParser

from oriolestage.entry._request_bytes import MAX_FIELDS, MIN_FIELD_BYTES
from oriolestage.routing._rules import CallerLimits

#: Requests of one connection that are parsed ahead of their turn.
QUEUED_REQUESTS = 4
#: Requests that wait from which on the parser may have stopped. It counts one
#: too many after a body that came later than its head.
STOPPED_REQUESTS = QUEUED_REQUESTS - 1
#: Bytes of a body at which the parser stops until some are read; half of what
#: it keeps at most.
PARSER_BUFFER_BYTES = 65_536


def max_fields(limits: CallerLimits) -> int:
    """Return how many fields a head may have, by its size alone."""
    return max(MAX_FIELDS, limits.header_bytes // MIN_FIELD_BYTES)


def build_parser(
    connection: web.RequestHandler,
    loop: asyncio.AbstractEventLoop,
    limits: CallerLimits,
) -> HttpRequestParser:
    """Return the parser of a connection that applies ``limits``."""
    return HttpRequestParser(
        connection,
        loop,
        PARSER_BUFFER_BYTES,
        max_line_size=limits.header_bytes,
        max_field_size=limits.header_bytes,
        max_headers=max_fields(limits),
        payload_exception=web.RequestPayloadError,
        auto_decompress=False,
        max_msg_queue_size=QUEUED_REQUESTS,
    )
