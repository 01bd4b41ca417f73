"""What targets answer: bodies that the checks compute again, and broken ones."""

import hashlib
import random

from platform_soak.messages import encode

#: Length of a record of a part of a gathered answer, in bytes.
RECORD_BYTES = 16
#: Records in a part.
PART_RECORDS = 8
#: Path of queries over all shards.
SEARCH_PREFIX = '/search/'
#: Ending of the paths of requests that take long, and how long, in seconds.
LONG_SUFFIX = '/long'
LONG_WORK_S = 1.5
#: Ways of breaking an answer after which a target closes the connection.
CLOSING_WAYS = frozenset(('head', 'body', 'garbage'))


def answer_body(path: str, attempt: str, service: str) -> bytes:
    """Return the body with which each target of a service answers."""
    if path.startswith(SEARCH_PREFIX):
        return b''.join(part_records(attempt, service))
    return f'{service} answers {attempt} {path}'.encode()


def part_records(attempt: str, service: str) -> list[bytes]:
    """Return the records of a shard for an attempt, in no order."""
    return [
        hashlib.sha256(f'{attempt}/{service}/{number}'.encode()).digest()[
            :RECORD_BYTES
        ]
        for number in range(PART_RECORDS)
    ]


def stamp_of(attempt: str, service: str, identity: str, served: int) -> str:
    """Return a signature, which is unique."""
    return f'{identity}.{served}.{service}.{attempt}'


def break_answer(answer: bytes, way: str, attempt: str) -> bytes:
    """Return the bytes of a broken answer, after which the target closes."""
    head, _, body = answer.partition(b'\r\n\r\n')
    match way:
        case 'head':
            return head[: len(head) // 2]
        case 'body':
            return b'\r\n\r\n'.join((head, body[: len(body) // 2]))
        case 'extra':
            extra = encode(
                'HTTP/1.1 200 OK',
                {'Attempt-Id': 'other', 'Server-Stamp': 'of.another.request'},
                b'of another request',
            )
            return answer + extra
        case 'garbage':
            return b'\x16\x03\x01 no answer at all\r\n\r\n'
        case 'status_500':
            return encode(
                'HTTP/1.1 500 Internal Server Error',
                {'Attempt-Id': attempt},
                b'failed',
            )
    return b''


def draw_work_s(path: str, usual_s: float, longest_s: float) -> float:
    """Return the time that a request takes.

    ``longest_s`` is 0 if all requests take the usual time.
    """
    if path.endswith(LONG_SUFFIX):
        return LONG_WORK_S
    return random.uniform(usual_s, longest_s) if longest_s else usual_s
