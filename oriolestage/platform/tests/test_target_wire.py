"""Tests of the target client against faulty targets."""

import asyncio
import time
import unittest
from unittest.mock import patch

from oriolestage.entry import _target_client
from oriolestage.entry._connection_pool import connect
from oriolestage.entry._held_bytes import HeldBytes
from oriolestage.entry._target_connection import TargetConnection
from oriolestage.platform.tests.target_calls import (
    COMPLETE_ANSWER,
    HEAD,
    RawTarget,
    RecordingObserver,
    run_calls,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    NotRunReason,
)

#: Time left for a request when its attempt starts, and a pause before its
#: connection is open, in seconds.
TIME_LEFT_S = 2.0
PAUSE_S = 0.4
MS_PER_S = 1000


async def _connect_after_pause(
    address: str, held: HeldBytes
) -> TargetConnection:
    await asyncio.sleep(PAUSE_S)
    return await connect(address, held)


class TargetClientTest(unittest.TestCase):
    """Bytes that are not the complete answer are never passed on."""

    def test_complete_answer(self) -> None:
        """An answer with a length is passed on unchanged."""
        outcome = run_calls(RawTarget(COMPLETE_ANSWER))[0]
        self.assertIsInstance(outcome, AttemptAnswered)
        if isinstance(outcome, AttemptAnswered):
            self.assertEqual(outcome.answer.body, b'body')

    def test_answer_without_length(self) -> None:
        """An answer without a length ends with the connection."""
        outcome = run_calls(RawTarget(HEAD + b'\r\nbody'))[0]
        self.assertIsInstance(outcome, AttemptAnswered)

    def test_reset_without_length(self) -> None:
        """An answer without a length that a reset cuts off is lost.

        A busy event loop sees the reset as a normal end of the stream.
        """
        for block_s in (0, 0.2):
            with self.subTest(block_s=block_s):
                target = RawTarget(
                    HEAD + b'\r\nbo',
                    reset=True,
                    delay_s=block_s / 2,
                )
                outcome = run_calls(target, block_s=block_s)[0]
                self.assertIsInstance(outcome, AttemptLost)

    def test_invalid_answers(self) -> None:
        """An answer is lost if it is cut off, malformed or unsigned.

        So is the answer to another request.
        """
        cases = (
            HEAD + b'Content-Length: 9\r\n\r\nbody',
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n',
            b'no answer at all\r\n\r\n',
            COMPLETE_ANSWER.replace(b'Attempt-Id: a', b'Attempt-Id: b'),
            COMPLETE_ANSWER.replace(b'Server-Stamp: s\r\n', b''),
        )
        for answer in cases:
            with self.subTest(answer=answer[:60]):
                outcome = run_calls(RawTarget(answer))[0]
                self.assertIsInstance(outcome, AttemptLost)

    def test_encoded_success(self) -> None:
        """Guards against coded bytes that are passed on or merged.

        Callers ask for no coding. A failure is passed on with its header.
        """
        encoded = COMPLETE_ANSWER.replace(
            b'Content-Length', b'Content-Encoding: gzip\r\nContent-Length'
        )
        failed = encoded.replace(b'200 OK', b'500 Failed')
        for answer, kind in ((encoded, AttemptLost), (failed, AttemptAnswered)):
            with self.subTest(answer=answer[:20]):
                outcome = run_calls(RawTarget(answer))[0]
                self.assertIsInstance(outcome, kind)

    def test_deadline_after_connecting(self) -> None:
        """Guards against handing on time that has passed.

        The time left was stated as it was before the connection was opened,
        although the process may have been paused meanwhile.
        """
        target = RawTarget(COMPLETE_ANSWER)
        with patch.object(_target_client, 'connect', _connect_after_pause):
            run_calls(target, time_left_s=TIME_LEFT_S)
        fields = dict(
            line.split(b': ', 1)
            for line in target.received.split(b'\r\n')
            if b': ' in line
        )
        self.assertLessEqual(
            float(fields[b'Deadline-Ms']), MS_PER_S * (TIME_LEFT_S - PAUSE_S)
        )

    def test_extra_answer(self) -> None:
        """Extra bytes after an answer do not reach the next request.

        The connection is closed instead of reused.
        """
        for pause_s in (0, 0.05):
            with self.subTest(pause_s=pause_s):
                extra = COMPLETE_ANSWER.replace(b'body', b'evil')
                target = RawTarget(COMPLETE_ANSWER + extra, COMPLETE_ANSWER)
                outcomes = run_calls(target, 2, pause_s=pause_s)
                for outcome in outcomes:
                    self.assertIsInstance(outcome, AttemptAnswered)
                    if isinstance(outcome, AttemptAnswered):
                        self.assertEqual(outcome.answer.body, b'body')
                self.assertEqual(target.accepted, 2)

    def test_not_reached(self) -> None:
        """If no connection was made, the attempt did not run."""
        target = RawTarget(COMPLETE_ANSWER)
        target.close()
        outcome = run_calls(target, address='127.0.0.1:1')[0]
        self.assertEqual(outcome, AttemptNotRun(NotRunReason.NOT_REACHED))

    def test_reset_before_answer(self) -> None:
        """If the connection breaks after the request, it may have run."""
        outcome = run_calls(RawTarget(b'', reset=True))[0]
        self.assertIsInstance(outcome, AttemptLost)

    def test_no_automatic_retry(self) -> None:
        """The HTTP library does not repeat a request by itself."""
        target = RawTarget(COMPLETE_ANSWER, b'', COMPLETE_ANSWER)
        outcomes = run_calls(target, 2)
        self.assertIsInstance(outcomes[0], AttemptAnswered)
        self.assertIsInstance(outcomes[1], AttemptLost)
        self.assertEqual(target.received.count(b' HTTP/1.1'), 2)

    def test_non_idempotent_uses_new_connections(self) -> None:
        """A non-idempotent request never reuses a connection.

        The target may close an idle connection just as the request is sent,
        and the request may then have run without an answer.
        """
        target = RawTarget(COMPLETE_ANSWER, COMPLETE_ANSWER)
        run_calls(target, 2, repeatable=False)
        self.assertEqual(target.accepted, 2)

    def test_path_unchanged(self) -> None:
        """Path and query reach the target unchanged."""
        paths = ('/a/?', '/a/?x', '/a//b', '/a/../b', '/a/%2f?q=%20+&&=')
        for path in paths:
            with self.subTest(path=path):
                target = RawTarget(COMPLETE_ANSWER)
                run_calls(target, path=path)
                line = f'GET {path} HTTP/1.1\r\n'.encode()
                self.assertTrue(target.received.startswith(line))

    def test_deadline(self) -> None:
        """An attempt at a silent target ends when its time is over."""
        target = RawTarget()
        started = time.monotonic()
        outcome = run_calls(target, time_left_s=0.2)[0]
        self.assertLess(time.monotonic() - started, 2)
        self.assertIsInstance(outcome, AttemptLost)


def _observe(*answers: bytes) -> RecordingObserver:
    observer = RecordingObserver()
    run_calls(RawTarget(*answers), calls=len(answers), observer=observer)
    return observer


class LeavingTest(unittest.TestCase):
    """A target that leaves says so in its responses."""

    def test_stated(self) -> None:
        """Answers and refusals of a target that leaves are reported."""
        leaving = COMPLETE_ANSWER.replace(
            b'Server-Stamp', b'Server-Leaving: 1\r\nServer-Stamp', 1
        )
        refused = (
            b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: a\r\n'
            b'Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
        )
        observed = _observe(COMPLETE_ANSWER, leaving, refused)
        self.assertEqual(observed.leaving, ['i-1', 'i-1'])

    def test_not_believed(self) -> None:
        """Malformed statements and those of other targets do not count."""
        malformed = COMPLETE_ANSWER.replace(
            b'Server-Stamp', b'Server-Leaving: soon\r\nServer-Stamp', 1
        )
        other_target = (
            b'HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        observed = _observe(malformed, other_target)
        self.assertEqual(observed.leaving, [])
        self.assertEqual(observed.limits, [None])


class RestTest(unittest.TestCase):
    """A target that rejects a request may ask for a time without any."""

    def test_asked(self) -> None:
        """The time is read from refusals, not from other responses."""
        refused = (
            b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: a\r\n'
            b'Retry-After: %s\r\nContent-Length: 0\r\n\r\n'
        )
        answered = COMPLETE_ANSWER.replace(
            b'Server-Stamp', b'Retry-After: 9\r\nServer-Stamp', 1
        )
        observed = _observe(
            refused % b'3',
            answered,
            refused % b'0.25',
            refused % b'0',
            refused % b'-1',
            refused % b'inf',
            refused % b'Fri, 04 Dec 2026 15:00:00 GMT',
        )
        self.assertEqual(observed.rests, [3, 0.25])

    def test_other_target(self) -> None:
        """The time of another target at the address does not count."""
        other_request = (
            b'HTTP/1.1 503 Busy\r\nAttempt-Id: b\r\nRetry-After: 3\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertEqual(_observe(other_request).rests, [])


class RateLimitTest(unittest.TestCase):
    """The rate limit in a response is reported for the target that sent it."""

    def _limits(self, *answers: bytes) -> list[float | None]:
        return _observe(*answers).limits

    def test_stated_and_ended(self) -> None:
        """A limit is reported with each response, and its absence too."""
        refused = (
            b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: a\r\n'
            b'Server-Limit: 3\r\nContent-Length: 0\r\n\r\n'
        )
        limited = COMPLETE_ANSWER.replace(
            b'Server-Stamp', b'Server-Limit: 14.2\r\nServer-Stamp', 1
        )
        limits = self._limits(limited, refused, COMPLETE_ANSWER)
        self.assertEqual(limits, [14.2, 3, None])

    def test_not_believed(self) -> None:
        """Malformed limits and those of other targets are not reported."""
        malformed = COMPLETE_ANSWER.replace(
            b'Server-Stamp', b'Server-Limit: few\r\nServer-Stamp', 1
        )
        other_target = (
            b'HTTP/1.1 421 Misdirected\r\nServer-Limit: 1\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertEqual(self._limits(malformed, other_target), [])
