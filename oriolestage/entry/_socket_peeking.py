"""Looks at what a socket has received and the event loop has not read yet."""

import asyncio
import enum
import select
import socket

#: Events of a socket whose next read would return at once. Errors are always
#: reported.
READABLE = select.POLLIN | select.POLLRDHUP


class Unread(enum.Enum):
    """What a read of a socket would return now."""

    NOTHING = enum.auto()
    CONTENT = enum.auto()
    #: The other side has closed its direction of the stream.
    END = enum.auto()
    #: The connection was reset or is not open any more.
    ERROR = enum.auto()


def peek(transport: asyncio.BaseTransport | None) -> Unread:
    """Return what the socket of a transport has not given to the loop yet.

    ``transport`` is None after the connection was lost.
    """
    if transport is None:
        return Unread.ERROR
    descriptor = transport.get_extra_info('socket').fileno()
    if descriptor < 0:
        return Unread.ERROR
    probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
    try:
        content = probe.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return Unread.NOTHING
    except OSError:
        return Unread.ERROR
    finally:
        # The descriptor belongs to the transport and must stay open.
        probe.detach()
    return Unread.CONTENT if content else Unread.END


def is_quiet(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the socket is open and everything received is read.

    Takes less time than :func:`peek`, as each attempt at a target needs it.
    """
    if transport is None or transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info('socket').fileno(), READABLE)
    return not poll.poll(0)
