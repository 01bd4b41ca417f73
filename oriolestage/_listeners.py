"""Listening sockets that are about to be closed."""

import socket
from collections.abc import Iterator

from oriolestage._logging import log_event


def accept_waiting(listener: socket.socket) -> Iterator[socket.socket]:
    """Yield the connections that wait to be accepted.

    ``listener`` is non-blocking. Without this, closing it resets them, though
    their callers may have sent a request.
    """
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as error:
            log_event('accept_failed', {'step': 'stop', 'error': error})
            return
        connection.setblocking(False)
        yield connection
