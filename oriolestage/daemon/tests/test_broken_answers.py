"""Tests of calls to targets whose answers end at any byte."""

import asyncio
import unittest
from collections.abc import Iterable
from unittest.mock import patch

import uvloop

from oriolestage.core import (
    CallTarget,
    Target,
    TargetAnswered,
    TargetFailed,
    TargetNotReached,
    TargetResult,
)
from oriolestage.daemon._events import Event, TargetCallEnded
from oriolestage.daemon._target_client import TargetClient
from oriolestage.platform.tests.broken_answers import (
    INVALID_ANSWERS,
    SIGNED,
    VALID_ANSWERS,
    Answer,
    Ending,
    Framing,
)
from oriolestage.platform.tests.cutting_target import CuttingTarget

#: Answers of the table that a caller of the HTTP library cannot tell from
#: whole ones: it strips the tabs, does not decode the chunks and does not say
#: so. A chunk size alone is a JSON number.
INDISTINGUISHABLE = frozenset((r"coding b'\tchunked\t'",))
REQUEST_ID = 'request-1'
FIELDS = (
    b'X-Request-Id: request-1\r\nX-Index-Version: 3\r\n'
    b'X-Key-Range: 0-100\r\nX-Partition-Revision: 1\r\n'
)
ROWS = b'[10]'
#: Time that a call has, in milliseconds, and within which it ends, in seconds.
TIMEOUT_MS = 10_000
END_TIMEOUT_S = 20.0
#: Longest delay of a call that is sent.
SEND_DELAY = 'oriolestage.daemon._target_client.MAX_SEND_DELAY_S'
#: Bodies that are no JSON value.
INVALID_ROWS = (
    b'',
    b'[1',
    b'[1]]',
    b'[1], "whole": true',
    b'["\xff"]',
    b'\xef\xbb\xbf[]',
    b'[' * 100_000 + b']' * 100_000,
)
#: Fields of an answer whose values are no numbers in use.
INVALID_FIELDS = (
    (b'X-Index-Version: 3', b'X-Index-Version: 1_0'),
    (b'X-Index-Version: 3', b'X-Index-Version: -1'),
    (b'X-Index-Version: 3', b'X-Index-Version: ' + '٣'.encode()),
    (b'X-Index-Version: 3', b'X-Index-Version: ' + b'9' * 400),
    (b'X-Index-Version: 3', b'X-Index-Version: ' + b'9' * 5000),
    (b'X-Key-Range: 0-100', b'X-Key-Range: 0'),
    (b'X-Key-Range: 0-100', b'X-Key-Range: 0-+1'),
    (b'X-Partition-Revision: 1', b'X-Partition-Revision: 1.5'),
    (b'X-Index', b'X-Index-Versions: 1,x\r\nX-Index'),
    (b'X-Index', b'X-Refused: shed\r\nX-Retry-After-Ms: inf\r\nX-Index'),
    (
        b'X-Index',
        b'X-Refused: shed\r\nX-Retry-After-Ms: ' + b'9' * 400 + b'\r\nX-Index',
    ),
)
INVALID_ADDRESSES = ('', 'nohost:x', '127.0.0.1:99999', '127.0.0.1:-1', '[::1')


def _to_wire(content: bytes) -> bytes:
    """Return an answer of the table as one to a call, with JSON rows."""
    signed = content.replace(SIGNED, FIELDS, 1).replace(b'body', ROWS)
    return signed.replace(b'\r\nbo\r\n', b'\r\n[1\r\n').replace(
        b'\r\ndy\r\n', b'\r\n0]\r\n'
    )


async def _call(address: str) -> TargetResult:
    inbox: asyncio.Queue[Event] = asyncio.Queue()
    client = TargetClient('127.0.0.1', inbox)
    target = Target('t-1', 's-1', 'ege-a', address, 2, 25)
    client.call(
        CallTarget(1, target, REQUEST_ID, 'r', b'{}', 0, TIMEOUT_MS, TIMEOUT_MS)
    )
    async with asyncio.timeout(END_TIMEOUT_S):
        event = await inbox.get()
    await client.close()
    assert isinstance(event, TargetCallEnded)
    return event.outcome


async def _answers_to(answers: Iterable[bytes]) -> list[TargetResult]:
    """Return the results of calls to a target that answers and closes."""
    results: list[TargetResult] = []
    async with CuttingTarget() as target:
        for content in answers:
            target.cut_off(content, Ending.CLOSED, bytewise=False)
            results.append(await _call(target.address))
            await target.end_connections()
    return results


def _is_right(answer: Answer, cut: int, result: TargetResult) -> bool:
    """Return whether an answer with ``cut`` bytes of its body is all right."""
    whole = answer.framing == Framing.OWN and cut >= len(answer.body)
    if not isinstance(result, TargetAnswered):
        # Bytes after an answer may make the library lose it.
        return not whole or answer.content == b'' or cut > len(answer.body)
    return whole and result.rows == ROWS


async def _differences(ending: Ending) -> list[str]:
    """Return the cuts of all answers that do not end in the right way."""
    found: list[str] = []
    async with CuttingTarget() as target:
        for answer in VALID_ANSWERS + INVALID_ANSWERS:
            if answer.framing == Framing.OWN and not answer.body:
                continue
            if answer.name in INDISTINGUISHABLE:
                continue
            head = _to_wire(answer.head)
            rest = _to_wire(b'\r\n' + answer.body + answer.extra)[2:]
            for cut in range(-1, len(rest) + 1):
                content = (head + rest)[: len(head) + cut]
                target.cut_off(content, ending, bytewise=False)
                result = await _call(target.address)
                await target.end_connections()
                if not _is_right(answer, cut, result):
                    found.append(f'{answer.name}, {cut} of its body: {result}')
    return found


class BrokenAnswerTest(unittest.TestCase):
    """Only an answer whose end is known, and that is whole, counts."""

    def setUp(self) -> None:
        """Let the client send its calls late on a busy machine."""
        self.enterContext(patch(SEND_DELAY, END_TIMEOUT_S))

    def test_every_cut(self) -> None:
        """Guards against rows of part of an answer.

        A reset ended an answer without a length like a close.
        """
        for ending in (Ending.CLOSED, Ending.RESET):
            for run in (uvloop.run, asyncio.run):
                with self.subTest(ending=ending, loop=run.__module__):
                    self.assertEqual(run(_differences(ending)), [])

    def test_rows(self) -> None:
        """Guards against rows that make the caller's answer no JSON."""
        head = b'HTTP/1.1 200 OK\r\n' + FIELDS + b'Content-Length: %d\r\n\r\n'
        answers = [head % len(rows) + rows for rows in INVALID_ROWS]
        results = uvloop.run(_answers_to(answers))
        for rows, result in zip(INVALID_ROWS, results, strict=True):
            with self.subTest(rows=rows[:20]):
                self.assertIsInstance(result, TargetFailed)

    def test_fields(self) -> None:
        """Guards against numbers with which nothing can calculate."""
        head = b'HTTP/1.1 200 OK\r\n' + FIELDS + b'Content-Length: 4\r\n\r\n'
        answers = [head.replace(*field) + ROWS for field in INVALID_FIELDS]
        results = uvloop.run(_answers_to(answers))
        for field, result in zip(INVALID_FIELDS, results, strict=True):
            with self.subTest(field=field[1][:60]):
                self.assertIsInstance(result, TargetFailed)

    def test_invalid_address(self) -> None:
        """Guards against calls that count as run and were never sent."""
        for address in INVALID_ADDRESSES:
            with self.subTest(address=address):
                result = uvloop.run(_call(address))
                self.assertIsInstance(result, TargetNotReached)

    def test_unexpected_error(self) -> None:
        """Guards against a call that never ends and keeps its slot."""
        with patch.object(
            TargetClient, '_send_request', side_effect=RuntimeError('bug')
        ):
            content = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
            results = uvloop.run(_answers_to((content,)))
        self.assertIsInstance(results[0], TargetFailed)
