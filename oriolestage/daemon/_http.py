"""Helpers shared by the HTTP servers of the daemon."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec
from aiohttp import web
from aiohttp.typedefs import Middleware

from oriolestage.daemon._failure_log import FailureLog

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def json_response(
    answer: msgspec.Struct, status: int = HTTPStatus.OK
) -> web.Response:
    """Return a response with a struct encoded as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(answer),
        content_type='application/json',
    )


def failure_middleware(
    step: str, failures: FailureLog, answer: msgspec.Struct
) -> Middleware:
    """Return a middleware that answers a request whose handler failed.

    The error is logged and counted under ``step``.
    """

    @web.middleware
    async def answer_failed(  # noqa: WPS430
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPException:
            raise
        except (ConnectionError, web.RequestPayloadError):
            # The client closed its connection or sent a malformed body.
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        except Exception as error:
            failures.record_unexpected(step, error)
            return json_response(
                answer, status=HTTPStatus.INTERNAL_SERVER_ERROR
            )

    return answer_failed
