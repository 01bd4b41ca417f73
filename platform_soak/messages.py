"""Reads and writes HTTP/1.1 messages on streams."""

import asyncio
import contextlib
import dataclasses
from http import HTTPStatus

#: First word of an answer.
VERSION = 'HTTP/1.1'
#: Interval of checking whether a caller has closed its connection.
CLOSE_CHECK_S = 0.005


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or a response."""

    #: The words of the first line.
    start: list[str]
    #: Values by lower-case name.
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


class MalformedError(Exception):
    """Bytes that are no answer."""


async def read_answer(reader: asyncio.StreamReader) -> Message:
    """Read an answer whose body has a length or none.

    Raises ``MalformedError`` for other bytes, and
    ``asyncio.IncompleteReadError`` if the stream ends before.
    """
    try:
        answer = await read_message(reader)
        HTTPStatus(answer.status)
    except (ValueError, IndexError, asyncio.LimitOverrunError) as error:
        raise MalformedError from error
    if answer.start[0] != VERSION:
        raise MalformedError
    return answer


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or none.

    Raises ``asyncio.IncompleteReadError`` if the stream ends before.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    headers: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        name, text = name.strip().lower(), text.strip()
        # Readers differ in which one of several they use.
        headers[name] = f'{headers[name]}, {text}' if name in headers else text
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length)
    return Message(first.split(' ', 2), headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message with its length."""
    lines = [start]
    for name, text in headers.items():
        lines.append(f'{name}: {text}')
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


async def wait_closed(reader: asyncio.StreamReader) -> None:
    """Return once the caller has closed its side."""
    with contextlib.suppress(OSError):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(CLOSE_CHECK_S)
