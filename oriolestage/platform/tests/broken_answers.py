"""Answers of targets, whole or not, for tests that cut them off."""

import dataclasses
import enum

#: Field that makes an answer one of a target.
SIGNED = b'Server-Stamp: s\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKED_BODY = b'2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\n\r\n'


class Framing(enum.Enum):
    """What ends an answer."""

    #: Its own bytes: a length, the last chunk or its status.
    OWN = enum.auto()
    #: The end of the stream, unless that is a reset.
    CLOSE = enum.auto()
    #: Nothing: its framing is not valid, so that its end is unknown.
    INVALID = enum.auto()


class Ending(enum.Enum):
    """What a target does after the last byte that it sends."""

    CLOSED = enum.auto()
    RESET = enum.auto()
    CLOSED_LATER = enum.auto()
    #: It ends its direction of the stream and reads on.
    HALF_CLOSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer as a target sends it."""

    name: str
    head: bytes
    #: Body on the wire.
    body: bytes = b''
    framing: Framing = Framing.OWN
    #: Body without its framing; None if it has none.
    content: bytes | None = None
    #: Bytes that follow the complete answer.
    extra: bytes = b''

    @property
    def wire(self) -> bytes:
        """All bytes that the target sends."""
        return self.head + self.body + self.extra

    def cuts(self, method: str) -> range:
        """Return the numbers of bytes after which to end the answer.

        All of them for a GET, and those around the end of the head for
        others; without a valid framing, all in the body of a GET.
        """
        end = len(self.wire) + 1
        if self.framing == Framing.INVALID:
            return range(len(self.head), end if method == 'GET' else 0)
        return range(0 if method == 'GET' else len(self.head) - 1, end)

    def expected(
        self, cut: int, ending: Ending, *, without_body: bool
    ) -> bytes | None:
        """Return the body to pass on after ``cut`` bytes, None if lost."""
        if self.framing == Framing.INVALID or cut < len(self.head):
            return None
        if without_body:
            return b''
        if self.framing == Framing.CLOSE:
            whole = ending != Ending.RESET
            return self.body[: cut - len(self.head)] if whole else None
        if cut < len(self.head) + len(self.body):
            return None
        return self.body if self.content is None else self.content


def _chunked(name: str, head: bytes, extra: bytes = b'') -> Answer:
    return Answer(name, head, CHUNKED_BODY, content=b'body', extra=extra)


def _with_length(name: str, fields: bytes, extra: bytes = b'') -> Answer:
    head = HEAD + fields + b'Content-Length: 4\r\n\r\n'
    return Answer(name, head, b'body', extra=extra)


def _unframed(name: str, fields: bytes, body: bytes = b'body') -> Answer:
    return Answer(name, HEAD + fields + b'\r\n\r\n', body, Framing.INVALID)


#: Answers that are whole at some byte.
VALID_ANSWERS = (
    _with_length('length', b''),
    _with_length('length and close', b'Connection: close\r\n'),
    _with_length('header that is no UTF-8', b'X: caf\xe9\r\n'),
    _with_length('bytes after it', b'', extra=b'\x00junk'),
    _with_length('close and bytes after it', b'Connection: close\r\n', b'junk'),
    Answer(
        'length first',
        b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nServer-Stamp: s\r\n\r\n',
        b'body',
    ),
    Answer('length 0', HEAD + b'Content-Length: 0\r\n\r\n'),
    _chunked('chunks', CHUNKED_HEAD),
    _chunked('chunks and bytes after them', CHUNKED_HEAD, b'\x00junk'),
    Answer(
        'trailers',
        CHUNKED_HEAD,
        b'4\r\nbody\r\n0\r\nX: y\r\n\r\n',
        content=b'body',
    ),
    Answer('no length', HEAD + b'\r\n', b'body', Framing.CLOSE),
    Answer(
        'interim answers',
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n'
        + HEAD
        + b'Content-Length: 4\r\n\r\n',
        b'body',
    ),
    Answer(
        'no reason phrase',
        b'HTTP/1.1 200\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n',
        b'body',
    ),
    Answer(
        'HTTP/1.0',
        b'HTTP/1.0 200 OK\r\nServer-Stamp: s\r\n\r\n',
        b'body',
        Framing.CLOSE,
    ),
    Answer(
        'failure without a length',
        b'HTTP/1.1 500 Failed\r\nServer-Stamp: s\r\n\r\n',
        b'body',
        Framing.CLOSE,
    ),
    Answer(
        'no content',
        b'HTTP/1.1 204 None\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n',
        extra=b'body',
    ),
    Answer(
        'not modified',
        b'HTTP/1.1 304 Same\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n',
    ),
)

#: Answers whose end is unknown, with any number of bytes and any ending.
INVALID_ANSWERS = (
    *(
        _unframed(f'length {text!r}', b'Content-Length: ' + text)
        for text in (
            b'+4',
            b'-4',
            b'4, 4',
            b'4,6',
            b'4 4',
            b'0x4',
            b'',
            '²'.encode(),
            b'9' * 400,
            b'18446744073709551615',
            b'18446744073709551616',
            b'18446744073709551620',
        )
    ),
    _unframed('two lengths', b'Content-Length: 4\r\nContent-Length: 4'),
    _unframed('two other lengths', b'Content-Length: 4\r\nContent-Length: 6'),
    _unframed('space after the name', b'Content-Length : 4'),
    _unframed('space after a coding', b'Transfer-Encoding : gzip'),
    _unframed(
        'length and chunks',
        b'Content-Length: 4\r\nTransfer-Encoding: chunked',
        CHUNKED_BODY,
    ),
    _unframed(
        'chunks and length',
        b'Transfer-Encoding: chunked\r\nContent-Length: 4',
        CHUNKED_BODY,
    ),
    *(
        _unframed(
            f'coding {text!r}', b'Transfer-Encoding: ' + text, CHUNKED_BODY
        )
        for text in (
            b'',
            b'gzip',
            b'identity',
            b'xchunked',
            b'chunked;x=y',
            b'\tchunked\t',
            b'gzip, chunked',
            b'chunked, gzip',
            b'chunked, chunked',
        )
    ),
    *(
        _unframed(f'chunk {body!r}', b'Transfer-Encoding: chunked', body)
        for body in (
            b'+4\r\nbody\r\n0\r\n\r\n',
            b'0x4\r\nbody\r\n0\r\n\r\n',
            b'-4\r\nbody\r\n0\r\n\r\n',
            b'10000000000000004\r\nbody\r\n0\r\n\r\n',
            b'4\r\nbodybody\r\n0\r\n\r\n',
            b'4\nbody\n0\n\n',
        )
    ),
    Answer(
        'chunks of HTTP/1.0',
        b'HTTP/1.0 200 OK\r\nServer-Stamp: s\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
        CHUNKED_BODY,
        Framing.INVALID,
    ),
    *(
        Answer(
            f'status line {line!r}',
            line + b'\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n',
            b'body',
            Framing.INVALID,
        )
        for line in (
            b'HTTP/0.9 200 OK',
            b'HTTP/1.2 200 OK',
            b'HTTP/2.0 200 OK',
            b'HTTP/1.1 20 OK',
            b'HTTP/1.1 099 OK',
            b'HTTP/1.1 2000 OK',
            b'HTTP/1.1 101 Switching',
            b'HTTP/1.1 100 Continue',
            b'xHTTP/1.1 200 OK',
            b'200 OK',
        )
    ),
    Answer(
        'status line alone', b'HTTP/1.1 200 OK\r\n\r\n', b'', Framing.INVALID
    ),
    Answer('HTTP/0.9', b'body of an answer\r\n', b'', Framing.INVALID),
)
