"""Tests of the target client against answers that end at any byte."""

import asyncio
import itertools
import unittest
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable

import uvloop

from oriolestage.entry._target_client import TargetClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.broken_answers import (
    INVALID_ANSWERS,
    VALID_ANSWERS,
    Answer,
    Ending,
    Framing,
)
from oriolestage.platform.tests.cutting_target import CuttingTarget
from oriolestage.platform.tests.target_calls import (
    RecordingObserver,
    make_call,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptOutcome,
)

#: Production runs on uvloop; benches may run on asyncio's own loop.
LOOPS: tuple[Callable[[Coroutine[None, None, list[str]]], list[str]], ...] = (
    uvloop.run,
    asyncio.run,
)
#: Time that an attempt at a target has that always closes, in seconds.
TIME_LEFT_S = 20.0
METHODS = ('GET', 'HEAD')
#: Answers of each kind of framing.
FRAMINGS = tuple(
    answer
    for answer in VALID_ANSWERS
    if answer.name in {'length first', 'chunks', 'no length'}
)


async def _outcome(content: bytes) -> AttemptOutcome:
    """Return the outcome of an attempt whose target sends this and closes."""
    async with CuttingTarget() as target:
        target.cut_off(content, Ending.CLOSED, bytewise=False)
        client = _client()
        outcome = await client.send(
            make_call(address=target.address, time_left_s=TIME_LEFT_S)
        )
        client.close()
        return outcome


def _client() -> TargetClient:
    return TargetClient(PlatformWireProtocol(), RecordingObserver())


def _body(outcome: AttemptOutcome) -> bytes | None:
    """Return the body that is passed on, None if there is no answer."""
    if isinstance(outcome, AttemptAnswered):
        return outcome.answer.body
    return None


async def _attempts(
    answers: Iterable[Answer], endings: Iterable[Ending], *, bytewise: bool
) -> AsyncIterator[tuple[str, bytes | None, bytes | None]]:
    """Yield a description, the body passed on and the one to pass on."""
    async with CuttingTarget() as target:
        for answer, ending, method in itertools.product(
            answers, endings, METHODS
        ):
            for cut in answer.cuts(method):
                target.cut_off(answer.wire[:cut], ending, bytewise=bytewise)
                client = _client()
                outcome = await client.send(
                    make_call(
                        address=target.address,
                        method=method,
                        time_left_s=TIME_LEFT_S,
                    )
                )
                client.close()
                await target.end_connections()
                expected = answer.expected(
                    cut, ending, without_body=method == 'HEAD'
                )
                name = f'{method} {answer.name}, {cut} bytes, {ending.name}'
                yield name, _body(outcome), expected


async def _differences(
    answers: Iterable[Answer], endings: Iterable[Ending], *, bytewise: bool
) -> list[str]:
    """Return the cuts at which the body passed on is not the right one."""
    found: list[str] = []
    attempts = _attempts(answers, endings, bytewise=bytewise)
    async for name, body, expected in attempts:
        if body != expected:
            found.append(f'{name}: {body!r} instead of {expected!r}')
    return found


class BrokenAnswerTest(unittest.TestCase):
    """An answer is passed on whole, or it is lost."""

    def _check(
        self,
        answers: Iterable[Answer],
        endings: tuple[Ending, ...],
        *,
        bytewise: bool = False,
    ) -> None:
        for run in LOOPS:
            differences = run(_differences(answers, endings, bytewise=bytewise))
            self.assertEqual(differences, [], run.__module__)

    def test_every_cut(self) -> None:
        """Guards against a part of an answer that is taken for the whole.

        It ends at each of its bytes, by a close or a reset.
        """
        self._check(VALID_ANSWERS, (Ending.CLOSED, Ending.RESET))

    def test_other_endings(self) -> None:
        """The same holds for a close after silence and a half-close."""
        self._check(
            FRAMINGS,
            (Ending.CLOSED_LATER, Ending.HALF_CLOSED),
        )

    def test_byte_by_byte(self) -> None:
        """The same holds if each byte arrives alone."""
        self._check(FRAMINGS, (Ending.CLOSED,), bytewise=True)

    def test_invalid_framing(self) -> None:
        """Guards against an answer without a known end that is passed on.

        A length of 2 ** 64 - 1 was taken for no body, and a body with an
        unknown transfer coding for the content.
        """
        self._check(INVALID_ANSWERS, (Ending.CLOSED,))

    def test_crash_signs(self) -> None:
        """Guards against requests that are refused for faulty targets.

        Only a connection that breaks is a sign that a request crashed its
        target; a target that sends what is no answer is alive.
        """
        for answer in VALID_ANSWERS + INVALID_ANSWERS:
            malformed = answer.framing == Framing.INVALID
            cut = len(answer.wire) if malformed else len(answer.head) - 1
            with self.subTest(answer.name):
                outcome = uvloop.run(_outcome(answer.wire[:cut]))
                assert isinstance(outcome, AttemptLost)
                self.assertEqual(outcome.broken, not malformed, outcome)
