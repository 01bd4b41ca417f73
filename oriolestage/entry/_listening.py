"""Opens the sockets on which an entry host listens."""

import socket

from oriolestage.entry._settings import EntrySettingsError

#: Connections that may wait to be accepted.
BACKLOG = 1024


def listen_on(address: str) -> socket.socket:
    """Listen on ``ip:port``; raises :class:`EntrySettingsError`."""
    host, _, port = address.rpartition(':')
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((host, int(port)))
    except OSError as error:
        raise EntrySettingsError(f'{address}: {error.strerror}') from error
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening
