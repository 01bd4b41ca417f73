"""Helpers shared by the HTTP servers of the daemon."""

from http import HTTPStatus

import msgspec
from aiohttp import web


def json_response(
    answer: msgspec.Struct, status: int = HTTPStatus.OK
) -> web.Response:
    """Return a response with a struct encoded as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(answer),
        content_type='application/json',
    )
