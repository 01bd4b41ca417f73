"""Strategies that mutate good requests of callers."""

import dataclasses

from hypothesis import strategies as st

from oriolestage.platform.tests.served_callers import FIELDS

#: Largest number of changes to the bytes of one connection, and of bytes that
#: one drops.
MAX_CHANGES = 4
MAX_DROPPED = 12
#: A place in the bytes of one connection is drawn up to here.
MAX_PLACE = 500
#: Number of connections at the same time.
MIN_CONNECTIONS = 12
MAX_CONNECTIONS = 24


def _request(line: bytes, fields: bytes = b'', body: bytes = b'') -> bytes:
    return b'%s HTTP/1.1\r\n%s%s\r\n%s' % (line, FIELDS, fields, body)


_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_GET = _request(b'GET /a/b?c=%20&d=')
_POST = _request(b'POST /a/', b'Content-Length: 4\r\n', b'body')
_CHUNKS = _request(b'POST /a/', _CHUNKED, b'A\r\n0123456789\r\n0\r\n\r\n')
#: A body that is a request, if a reader takes the length for another one.
_NESTED = _request(b'POST /a/', b'Content-Length: %d\r\n' % len(_GET), _GET)
GOOD_STREAMS: tuple[bytes, ...] = (
    _GET,
    _POST,
    _CHUNKS,
    _NESTED,
    _GET + _POST + _GET,
    _CHUNKS + _GET,
    _NESTED + _POST,
    _request(b'HEAD /a/') + _GET,
    _request(b'PUT /a/', b'Content-Length: 0\r\n') + _GET,
    _request(b'DELETE /a/'),
    _request(
        b'POST /a/', b'Expect: 100-continue\r\nContent-Length: 1\r\n', b'b'
    )
    + _GET,
    _request(
        b'POST /a/',
        b'Trailer: X-T\r\n' + _CHUNKED,
        b'4;a="b"\r\nbody\r\n0\r\nX-T: 1\r\n\r\n',
    )
    + _GET,
    _request(
        b'POST /a/',
        b'Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 4\r\n',
        b'body',
    )
    + _GET,
    _request(b'GET http://h.example/a/') + _GET,
    _request(b'OPTIONS *') + _GET,
    _request(b'GET /a/', b'Connection: close\r\n') + _GET,
)
#: Bytes that a change inserts.
TOKENS: tuple[bytes, ...] = (
    b'',
    b'\r',
    b'\n',
    b'\r\n',
    b'\r\n\r\n',
    b' ',
    b'\t',
    b'\x00',
    b'\x0b',
    b'\x7f',
    b'\xff',
    b'\xc3\xa9',
    b':',
    b';',
    b',',
    b'#',
    b'//',
    b'0',
    b'4',
    b'a',
    b'F',
    b'-',
    b'+',
    b'0x',
    b'9' * 20,
    b'18446744073709551615',
    b'FFFFFFFFFFFFFFFF',
    b'x' * 20_000,
    b'0\r\n\r\n',
    b'4\r\nbody\r\n',
    b'HTTP/1.0',
    b'HTTP/2.0',
    b'CONNECT ',
    b'Host: other.example\r\n',
    b'Host: caf\xe9\r\n',
    b'Attempt-Id: b\r\n',
    b'Deadline-Ms: x\r\n',
    b'Content-Length: 4\r\n',
    b'Content-Length : 4\r\n',
    b'content-length:3\r\n',
    b'Content-Length: +4\r\n',
    b'Content-Length: 4, 4\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: gzip, chunked\r\n',
    b'Transfer-Encoding: \x0bchunked\r\n',
    b'Transfer-Encoding : chunked\r\n',
    b'X-Fold: 1\r\n Content-Length: 1\r\n',
    b'X-Line: 1\nContent-Length: 1\r\n',
    b'Connection: close\r\n',
    b'Connection: upgrade\r\nUpgrade: websocket\r\n',
    b'Connection: Host, Attempt-Id, Content-Length\r\n',
    b'Expect: 100-continue\r\n',
    _GET,
    _POST,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """The bytes of one connection, sent in parts."""

    parts: tuple[bytes, ...]

    @property
    def content(self) -> bytes:
        """All bytes."""
        return b''.join(self.parts)


@st.composite
def streams(draw: st.DrawFn) -> Stream:
    """Return good requests with some bytes changed, perhaps cut off."""
    content = draw(st.sampled_from(GOOD_STREAMS))
    for _ in range(draw(st.integers(0, MAX_CHANGES))):
        start = draw(st.integers(0, MAX_PLACE)) % (len(content) + 1)
        rest = content[start + draw(st.integers(0, MAX_DROPPED)) :]
        token = draw(st.sampled_from(TOKENS))
        content = b''.join((content[:start], token, rest))
    cut = draw(st.integers(0, MAX_PLACE)) % (len(content) + 1)
    match draw(st.integers(0, 4)):
        case 0:
            return Stream((content[:cut],))
        case 1 | 2:
            return Stream((content[:cut], content[cut:]))
        case _:
            return Stream((content,))


def connections() -> st.SearchStrategy[list[Stream]]:
    """Return what callers send on some connections at the same time."""
    return st.lists(
        streams(), min_size=MIN_CONNECTIONS, max_size=MAX_CONNECTIONS
    )
