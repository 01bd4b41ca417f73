"""Listening sockets of an entry host."""

import socket

from oriolestage.entry._settings import EntrySettingsError

#: Largest number of connections that wait to be accepted.
BACKLOG = 1024


def listen_on(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on ``ip:port``.

    Raises :class:`EntrySettingsError` if the address cannot be bound.
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        raise EntrySettingsError(f'{address}: {error.strerror}') from error
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
