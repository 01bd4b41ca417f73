"""What the HTTP servers of the daemon share."""

from http import HTTPStatus

import msgspec
from aiohttp import web


def json_response(
    answer: msgspec.Struct, status: int = HTTPStatus.OK
) -> web.Response:
    """Give a struct as a JSON response."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(answer),
        content_type='application/json',
    )
