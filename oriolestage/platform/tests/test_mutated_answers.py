"""Property tests of the target client against mutated answers."""

import asyncio
import unittest

import uvloop
from hypothesis import example, given, settings
from hypothesis import strategies as st

from oriolestage.entry._target_client import TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.broken_answers import (
    INVALID_ANSWERS,
    VALID_ANSWERS,
    Ending,
)
from oriolestage.platform.tests.cutting_target import CuttingTarget
from oriolestage.platform.tests.target_calls import (
    RecordingObserver,
    make_call,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
)

EXAMPLES = 150
#: Largest number of changes to one answer, and of bytes that one drops.
MAX_CHANGES = 4
MAX_DROPPED = 12
#: Longest answer, in bytes, as a place in it is drawn.
MAX_PLACE = 600
#: Time that an attempt at a target has that always closes, in seconds.
TIME_LEFT_S = 20.0
#: Bytes that a change inserts.
TOKENS = (
    b'',
    b'\r',
    b'\n',
    b'\r\n',
    b'\r\n\r\n',
    b' ',
    b'\t',
    b'\x00',
    b'\xff',
    b':',
    b';',
    b',',
    b'0',
    b'4',
    b'-',
    b'9' * 20,
    b'18446744073709551615',
    b'0\r\n\r\n',
    b'Content-Length: 4\r\n',
    b'Content-Length: 3\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: gzip\r\n',
    b'Connection: close\r\n',
    b'HTTP/1.0 200 OK\r\n',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 204 OK\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n',
)

#: One change: where it starts, the bytes dropped and the bytes inserted.
_Change = tuple[int, int, bytes]
_changes = st.lists(
    st.tuples(
        st.integers(0, MAX_PLACE),
        st.integers(0, MAX_DROPPED),
        st.sampled_from(TOKENS),
    ),
    max_size=MAX_CHANGES,
)
_answers = st.sampled_from(
    [answer.wire for answer in VALID_ANSWERS + INVALID_ANSWERS]
)


def _mutate(answer: bytes, changes: list[_Change]) -> bytes:
    for place, dropped, token in changes:
        start = place % (len(answer) + 1)
        answer = answer[:start] + token + answer[start + dropped :]
    return answer


async def _attempt(
    target: CuttingTarget,
    content: bytes,
    ending: Ending,
    *,
    bytewise: bool = False,
    method: str = 'GET',
) -> AttemptOutcome:
    """Return the outcome of an attempt that gets this content."""
    target.cut_off(content, ending, bytewise=bytewise)
    client = TargetClient(PlatformWireProtocol(), RecordingObserver())
    outcome = await client.send(
        make_call(
            address=target.address, method=method, time_left_s=TIME_LEFT_S
        )
    )
    client.close()
    await target.end_connections()
    return outcome


def _content(outcome: AttemptOutcome) -> tuple[object, ...]:
    """Return what callers learn from an outcome."""
    match outcome:
        case AttemptAnswered(answer=answer):
            return (answer.status, answer.headers, answer.body)
        case AttemptNotRun(reason=reason):
            return (reason,)
        case AttemptLost():
            return ()


class MutatedAnswerTest(unittest.TestCase):
    """An answer means the same in any segmentation, and no part of it."""

    def setUp(self) -> None:
        """Start an event loop for all examples."""
        self._runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.addCleanup(self._runner.close)

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(
        answer=_answers,
        changes=_changes,
        method=st.sampled_from(('GET', 'HEAD')),
    )
    @example(answer=VALID_ANSWERS[0].wire, changes=[], method='GET')
    def test_segmentation(
        self, answer: bytes, changes: list[_Change], method: str
    ) -> None:
        """It is the same whether it arrives at once or byte by byte.

        The attempt ends with the connection at the latest.
        """
        content = _mutate(answer, changes)

        async def attempts() -> tuple[AttemptOutcome, AttemptOutcome]:
            async with CuttingTarget() as target:
                ending = Ending.CLOSED
                return (
                    await _attempt(target, content, ending, method=method),
                    await _attempt(
                        target, content, ending, bytewise=True, method=method
                    ),
                )

        at_once, bytewise = self._runner.run(attempts())
        self.assertEqual(_content(at_once), _content(bytewise), content)
        for outcome in (at_once, bytewise):
            self.assertNotEqual(outcome, AttemptLost('target.deadline'))

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(
        answer=_answers,
        changes=_changes,
        cut=st.integers(0, MAX_PLACE),
        method=st.sampled_from(('GET', 'HEAD')),
    )
    @example(answer=VALID_ANSWERS[0].wire, changes=[], cut=70, method='GET')
    def test_part(
        self, answer: bytes, changes: list[_Change], cut: int, method: str
    ) -> None:
        """What a reset cuts off is lost, or it is all of the answer."""
        content = _mutate(answer, changes)
        part = content[: cut % (len(content) + 1)]

        async def attempts() -> tuple[AttemptOutcome, AttemptOutcome]:
            async with CuttingTarget() as target:
                return (
                    await _attempt(target, part, Ending.RESET, method=method),
                    await _attempt(
                        target, content, Ending.CLOSED, method=method
                    ),
                )

        reset, whole = self._runner.run(attempts())
        if not isinstance(reset, AttemptLost):
            self.assertEqual(_content(reset), _content(whole), content)
