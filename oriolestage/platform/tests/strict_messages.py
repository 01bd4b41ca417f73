"""Reads HTTP/1.1 messages as strictly as the RFCs allow.

It stands for the reader that an attacker plays off against another one: what
it does not understand ends the reading.
"""

import dataclasses
import re

REQUEST_LINE = re.compile(rb'([A-Z-]+) +([\x21-\x7e]+) HTTP/\d\.\d')
STATUS_LINE = re.compile(rb'HTTP/1\.[01] (\d{3}) [\x20-\x7e]*')
FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\x00\r\n]*)")
CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]+)(;[^\r\n]*)?')
LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
FINAL_STATUS = 200
EMPTY_STATUSES = frozenset((204, 304))

Fields = dict[bytes, list[bytes]]


class UnreadableError(ValueError):
    """What follows is not one complete message."""


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """What a target must get of a request, unchanged."""

    method: bytes
    path: bytes
    hosts: tuple[bytes, ...]
    identities: tuple[bytes, ...]
    body: bytes


def read_requests(stream: bytes) -> list[SentRequest]:
    """Return the complete requests up to the first other thing."""
    requests: list[SentRequest] = []
    while stream:
        try:
            request, stream = _read_request(stream.lstrip(LINE_END))
        except UnreadableError:
            break
        requests.append(request)
    return requests


def read_statuses(stream: bytes, requests: list[SentRequest]) -> list[int]:
    """Return the statuses of final answers to requests, in order.

    Raises :class:`UnreadableError` if there is anything but complete answers.
    """
    statuses: list[int] = []
    while stream:
        line, fields, rest = _read_head(stream, STATUS_LINE)
        status = int(line[1])
        if status < FINAL_STATUS:
            stream = rest
            continue
        number = len(statuses)
        statuses.append(status)
        of_head = number < len(requests) and requests[number].method == b'HEAD'
        if status in EMPTY_STATUSES or (of_head and _starts_answer(rest)):
            stream = rest
            continue
        _, stream = _split(rest, _read_length(fields))
    return statuses


def _starts_answer(stream: bytes) -> bool:
    return not stream or STATUS_LINE.match(stream) is not None


def _read_request(stream: bytes) -> tuple[SentRequest, bytes]:
    line, fields, rest = _read_head(stream, REQUEST_LINE)
    codings = fields.get(b'transfer-encoding')
    if codings is None:
        body, rest = _split(rest, _read_length(fields))
    elif b'content-length' in fields or _lower(codings) != [b'chunked']:
        raise UnreadableError('framing')
    else:
        body, rest = _read_chunks(rest)
    request = SentRequest(
        line[1],
        line[2],
        tuple(fields.get(b'host', ())),
        tuple(fields.get(b'attempt-id', ())),
        body,
    )
    return request, rest


def _read_head(
    stream: bytes, first_line: re.Pattern[bytes]
) -> tuple[re.Match[bytes], Fields, bytes]:
    head, separator, rest = stream.partition(HEAD_END)
    first, *lines = head.split(LINE_END)
    line = first_line.fullmatch(first)
    if not separator or line is None:
        raise UnreadableError('head')
    return line, _read_fields(lines), rest


def _read_fields(lines: list[bytes]) -> Fields:
    fields: Fields = {}
    for line in lines:
        field = FIELD.fullmatch(line)
        if field is None:
            raise UnreadableError('field')
        texts = fields.setdefault(field[1].lower(), [])
        texts.append(field[2].strip(b' \t'))
    return fields


def _read_length(fields: Fields) -> int:
    stated = fields.get(b'content-length', [b'0'])
    if len(stated) > 1 or not re.fullmatch(rb'[0-9]{1,20}', stated[0]):
        raise UnreadableError('length')
    return int(stated[0])


def _read_chunks(stream: bytes) -> tuple[bytes, bytes]:
    body = b''
    while True:
        line, separator, stream = stream.partition(LINE_END)
        size = CHUNK_SIZE.fullmatch(line)
        if not separator or size is None:
            raise UnreadableError('chunk')
        length = int(size[1], 16)
        if not length:
            return body, _skip_trailers(stream)
        chunk, stream = _split(stream, length)
        end, stream = _split(stream, len(LINE_END))
        if end != LINE_END:
            raise UnreadableError('chunk')
        body += chunk


def _skip_trailers(stream: bytes) -> bytes:
    if stream.startswith(LINE_END):
        return stream[len(LINE_END) :]
    trailers, separator, rest = stream.partition(HEAD_END)
    if not separator:
        raise UnreadableError('trailers')
    _read_fields(trailers.split(LINE_END))
    return rest


def _split(stream: bytes, length: int) -> tuple[bytes, bytes]:
    if length > len(stream):
        raise UnreadableError('end')
    return stream[:length], stream[length:]


def _lower(texts: list[bytes]) -> list[bytes]:
    return [text.lower() for text in texts]
