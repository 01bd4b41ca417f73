"""Reads and writes HTTP/1.1 messages on streams."""

import asyncio
import dataclasses


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


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or none.

    Raises ``asyncio.IncompleteReadError`` if the stream ends before.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
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
