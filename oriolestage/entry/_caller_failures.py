"""Responses to callers' requests that this host itself ends."""

import traceback
from http import HTTPStatus

from aiohttp import web

from oriolestage._logging import log_event
from oriolestage.entry._caller_connection import OpenRequest
from oriolestage.entry._caller_framing import UnknownBodyError

#: Characters of a path or an error that are logged.
MAX_LOGGED_CHARACTERS = 200


def build_error_response(
    request: web.BaseRequest, opened: OpenRequest, error: BaseException
) -> web.Response:
    """Log an error of this program and build the response to its request.

    The request may have run, so the status must not promise that it has not.
    """
    frames = traceback.extract_tb(error.__traceback__)
    log_event(
        'request_error',
        {
            'id': opened.request_id,
            'step': opened.phase.value,
            'path': request.raw_path[:MAX_LOGGED_CHARACTERS],
            'error': repr(error)[:MAX_LOGGED_CHARACTERS],
            'at': f'{frames[-1].filename}:{frames[-1].lineno}',
        },
    )
    return web.Response(status=HTTPStatus.BAD_GATEWAY, text='error')


def build_rejection(
    request_id: str,
    reason: str,
    status: HTTPStatus,
) -> web.Response:
    """Log and build the response to a body that is too large or too slow."""
    log_event('request_rejected', {'id': request_id, 'reason': reason})
    response = web.Response(status=status)
    response.force_close()
    return response


def build_bad_request(
    request: web.BaseRequest, problem: ValueError
) -> web.Response:
    """Log and build the response to what is no valid request.

    The connection is closed if it is unknown where the request ends.
    """
    log_event(
        'request_rejected',
        {'path': request.raw_path, 'reason': problem},
    )
    response = web.Response(status=HTTPStatus.BAD_REQUEST, text=str(problem))
    if isinstance(problem, UnknownBodyError):
        response.force_close()
    return response
