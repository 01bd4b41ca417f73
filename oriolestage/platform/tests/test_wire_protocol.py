"""Tests of the headers and statuses of the platform."""

import unittest

from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    AttemptOutcome,
    Delivered,
    Failed,
    Gathered,
    GiveUpReason,
    NotRunReason,
    Refused,
    TargetAnswer,
)

SIGNED = ('Server-Stamp', 's')
OWN_ID = ('Attempt-Id', 'a')
OTHER_ID = ('Attempt-Id', 'b')


class PlatformWireProtocolTest(unittest.TestCase):
    """Headers and statuses are translated in both directions."""

    def setUp(self) -> None:
        """Create a wire protocol."""
        self._protocol = PlatformWireProtocol()

    def test_request_metadata(self) -> None:
        """Identity and deadline are read; an invalid deadline is an error."""
        metadata = self._protocol.request_metadata(
            {'Attempt-Id': 'a', 'Deadline-Ms': '1500'},
        )
        self.assertEqual(metadata.request_id, 'a')
        self.assertEqual(metadata.time_left_s, 1.5)
        self.assertIsNone(self._protocol.request_metadata({}).time_left_s)
        for text in ('soon', '-1', ''):
            with self.subTest(text=text), self.assertRaises(ValueError):
                self._protocol.request_metadata({'Deadline-Ms': text})

    def test_target_headers(self) -> None:
        """End-to-end headers are forwarded, with a new deadline and target.

        A caller cannot choose the target with a header of its own.
        """
        headers = self._protocol.target_headers(
            (
                ('Host', 'h'),
                OWN_ID,
                ('X-Own', '1'),
                ('Connection', 'keep-alive, X-Hop'),
                ('X-Hop', '1'),
                ('Transfer-Encoding', 'chunked'),
                ('Content-Length', '4'),
                ('Deadline-Ms', '1500'),
                ('Target-Instance', 'forged'),
            ),
            'i-1',
            0.25,
        )
        self.assertEqual(
            headers,
            [
                ('Host', 'h'),
                OWN_ID,
                ('X-Own', '1'),
                ('Deadline-Ms', '250'),
                ('Target-Instance', 'i-1'),
            ],
        )

    def test_attempt_outcomes(self) -> None:
        """An attempt counts as not run only if the target says so.

        Otherwise a request that ran could be repeated.
        """
        shed = AttemptNotRun(NotRunReason.SHED)
        other = AttemptNotRun(NotRunReason.OTHER_TARGET)
        cases: tuple[
            tuple[int, tuple[tuple[str, str], ...], AttemptOutcome | None],
            ...,
        ] = (
            (200, (SIGNED, OWN_ID), None),
            (200, (SIGNED,), None),
            (500, (SIGNED, OWN_ID), None),
            (503, (OWN_ID,), None),
            (503, (OWN_ID, ('Not-Executed', '1')), shed),
            (429, (OWN_ID, ('not-executed', '1')), shed),
            (421, (), other),
            (200, (SIGNED, OTHER_ID), AttemptLost('answer.other_request')),
            (200, (OWN_ID,), AttemptLost('answer.unsigned')),
        )
        for status, headers, expected in cases:
            signature = 's' if SIGNED in headers else ''
            answer = TargetAnswer(status, headers, b'', signature)
            with self.subTest(status=status, headers=headers):
                self.assertEqual(
                    self._protocol.outcome('a', answer),
                    expected or AttemptAnswered(answer),
                )

    def test_rate_limit(self) -> None:
        """A stated rate limit is read; malformed ones are errors."""
        for headers, expected in (
            ({}, None),
            ({'Server-Limit': '14.2'}, 14.2),
            ({'Server-Limit': '0'}, 0),
        ):
            with self.subTest(headers=headers):
                self.assertEqual(self._protocol.rate_limit(headers), expected)
        for text in ('', 'few', '-1', 'nan', 'inf'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                self._protocol.rate_limit({'Server-Limit': text})

    def test_responses(self) -> None:
        """Each result has its own status and headers.

        A 503 or 404 says that nothing ran, a 502 or 504 that it may have run.
        """
        answer = TargetAnswer(200, (SIGNED, ('Connection', 'close')), b'x', 's')
        cases = (
            (Delivered(answer), 200, 'Server-Stamp', 's'),
            (Gathered(b'r', ('s', 't'), 1), 200, 'Part-Stamps', 's, t'),
            (Gathered(b'r', ('s',), 1), 200, 'Missing-Shards', '1'),
            (Refused(GiveUpReason.NO_ROOM, 0.5), 503, 'Retry-After', '0.500'),
            (Refused(GiveUpReason.UNKNOWN_ROUTE, 0), 404, '', ''),
            (Failed(GiveUpReason.LOST), 502, '', ''),
            (Failed(GiveUpReason.DEADLINE), 504, '', ''),
        )
        for result, status, name, text in cases:
            with self.subTest(result=result):
                response = self._protocol.response(result, 'a')
                headers = dict(response.headers)
                self.assertEqual(response.status, status)
                self.assertNotIn('Connection', headers)
                if name:
                    self.assertEqual(headers[name], text)
