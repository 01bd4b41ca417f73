"""Command line and HTTP server that all stand-ins share."""

import argparse
import os
from collections.abc import Awaitable

import uvloop
from aiohttp import web


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options ``--ip`` and ``--port`` to listen on."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--ip', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    return parser


def serve(app: Awaitable[web.Application], ip: str, port: int) -> None:
    """Serve ``app`` without io_uring until SIGINT or SIGTERM arrives."""
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.install()
    web.run_app(
        app,
        host=ip,
        port=port,
        print=None,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=1,
    )
