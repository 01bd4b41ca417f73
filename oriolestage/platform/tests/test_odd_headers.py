"""Tests of malformed header values of callers and targets."""

from unittest import TestCase, mock

from multidict import (
    CIMultiDict,
    CIMultiDictProxy,
    MultiDict,
    MultiDictProxy,
)

from oriolestage.platform._wire_protocol import PlatformWireProtocol
from oriolestage.platform.tests.target_calls import (
    COMPLETE_ANSWER,
    RawTarget,
    RecordingObserver,
    run_calls,
)
from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    Delivered,
    TargetAnswer,
)

#: Texts that are no number: signs, underscores, spaces, other scripts, too
#: many digits, and what Python reads as a floating-point number.
ODD_NUMBERS = (
    '',
    ' ',
    '.',
    '-1',
    '+5',
    '1_000',
    ' 5',
    '5 ',
    '0x5',
    '\u00b2',
    '\u0663',
    '\udcff',
    '9' * 400,
    '9' * 5000,
    '1e3',
    '1e308',
    '1.2.3',
    '1,5',
    'inf',
    'Infinity',
    'nan',
    'soon',
)
LOG_EVENT = f'{PlatformWireProtocol.__module__}.log_event'
#: A field whose name is no UTF-8.
ODD_NAME = ('X-\udce9', '1')


class OddHeaderTest(TestCase):
    """Guards against a header whose error is not the one that is expected."""

    def setUp(self) -> None:
        """Create a wire protocol."""
        self._protocol = PlatformWireProtocol()

    def test_deadlines(self) -> None:
        """A deadline of a caller is a whole number of milliseconds."""
        for text in (*ODD_NUMBERS, '1.5', '9' * 16):
            with self.subTest(text=text[:40]):
                with self.assertRaises(ValueError) as caught:
                    self._protocol.request_metadata({'Deadline-Ms': text})
                self.assertIn('Deadline-Ms', str(caught.exception))
                self.assertLess(len(str(caught.exception)), 300)
        for text, expected in (('0', 0), ('0800', 0.8), ('9' * 15, 1e12)):
            with self.subTest(text=text):
                metadata = self._protocol.request_metadata(
                    {'Deadline-Ms': text}
                )
                assert metadata.time_left_s is not None
                self.assertAlmostEqual(
                    metadata.time_left_s, expected, delta=0.01
                )

    def test_request_ids(self) -> None:
        """An identity of a request consists of visible characters."""
        for text in ('a b', 'a\tb', '\u00e9', '\udcff', 'a\x1b'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                self._protocol.request_metadata({'Attempt-Id': text})

    def test_rate_limits(self) -> None:
        """A rate limit is a decimal number that arithmetic can take."""
        for text in (*ODD_NUMBERS, '1000000001'):
            with self.subTest(text=text[:40]), self.assertRaises(ValueError):
                self._protocol.rate_limit({'Server-Limit': text})

    def test_rests(self) -> None:
        """A time of rest is a decimal number of at most a day."""
        for text in (*ODD_NUMBERS, '86401', 'Fri, 04 Dec 2026 15:00:00 GMT'):
            with self.subTest(text=text[:40]), self.assertRaises(ValueError):
                self._protocol.rest_s(503, {'Retry-After': text})
        self.assertEqual(self._protocol.rest_s(503, {'Retry-After': '.5'}), 0.5)

    def test_signatures(self) -> None:
        """A text that breaks a list of signatures is no signature."""
        for text in ('', ' ', 'a, b', 'a b', 'a\tb', 'a\x1b', '\udcff'):
            with self.subTest(text=text):
                signature = self._protocol.signature({'Server-Stamp': text})
                self.assertEqual(signature, '')

    def test_control_characters(self) -> None:
        """A header that cannot be written is left out of an answer.

        Otherwise the caller gets no response although its request has run.
        """
        stamp = ('Server-Stamp', 's')
        kept = (stamp, ('X-Tab', 'a\tb'), ('X-Text', '\u00e9'))
        for char in '\x00\x01\x1b\x7f\r\n':
            with self.subTest(char=char):
                headers = (*kept, ('X-Odd', f'a{char}'), (f'X{char}', '1'))
                answer = TargetAnswer(200, headers, b'body', 's')
                response = self._protocol.response(Delivered(answer), 'a')
                self.assertEqual(response.headers, kept)

    def test_bytes_that_are_no_utf8(self) -> None:
        """Guards against a header that a caller gets shortened.

        Bytes that are no UTF-8 cannot be written to the caller.
        """
        stamp = ('Server-Stamp', 's')
        for field in (('X-Odd', 'caf\udce9'), ('X-Odd', '\udcff'), ODD_NAME):
            with self.subTest(field=field):
                answer = TargetAnswer(200, (field, stamp), b'body', 's')
                with mock.patch(LOG_EVENT) as log:
                    response = self._protocol.response(Delivered(answer), 'a')
                self.assertEqual(response.headers, (stamp,))
                log.assert_called_once()
                self.assertEqual(log.call_args.args[0], 'header_dropped')

    def test_connection_options(self) -> None:
        """Guards against losing a header that a faulty peer calls hop-by-hop.

        An answer without its signature is none, nor is a request without its
        identity.
        """
        listed = ('Connection', 'close, Server-Stamp, attempt-id, host, X-Hop')
        kept = (('Server-Stamp', 's'), ('Attempt-Id', 'a'))
        answer = TargetAnswer(200, (listed, *kept, ('X-Hop', '1')), b'', 's')
        response = self._protocol.response(Delivered(answer), 'a')
        self.assertEqual(response.headers, kept)
        sent = (('Host', 'h'), ('Attempt-Id', 'a'))
        headers = self._protocol.target_headers((listed, *sent), 'i-1', 1)
        self.assertEqual(tuple(headers[:2]), sent)

    def test_several_values(self) -> None:
        """Guards against an answer or a request that may be another one.

        Which of two identities or signatures counts is for a reader to guess.
        """
        for name in ('Attempt-Id', 'Deadline-Ms'):
            fields = MultiDict(((name, '1'), (name.lower(), '2')))
            with self.subTest(name=name), self.assertRaises(ValueError):
                self._protocol.request_metadata(MultiDictProxy(fields))
        stamp = ('Server-Stamp', 's')
        other_stamp = ('server-stamp', 't')
        own, other = ('Attempt-Id', 'a'), ('attempt-id', 'b')
        for fields_of_target, status, expected in (
            ((own, other, stamp), 200, 'answer.other_request'),
            ((other, own, stamp), 200, 'answer.other_request'),
            ((other, own), 421, 'answer.other_request'),
            ((other, own, ('Not-Executed', '1')), 503, 'answer.other_request'),
            ((own, stamp, other_stamp), 200, 'answer.unsigned'),
            ((own, stamp, other_stamp), 500, 'answer.signatures'),
            ((own, own, stamp), 200, ''),
            ((own, stamp, stamp), 200, ''),
            ((own, stamp, stamp), 500, ''),
        ):
            with self.subTest(fields=fields_of_target, status=status):
                headers = CIMultiDictProxy(CIMultiDict(fields_of_target))
                answer = TargetAnswer(
                    status,
                    tuple(headers.items()),
                    b'',
                    self._protocol.signature(headers),
                )
                outcome = self._protocol.outcome('a', answer)
                step = getattr(outcome, 'step', '')
                self.assertEqual(step, expected)


class OddTargetTest(TestCase):
    """Odd headers of a target harm neither its answer nor this host."""

    def test_notices(self) -> None:
        """A malformed notice is ignored, and the answer is passed on."""
        for line in (
            b'Server-Limit: 1e308',
            b'Server-Limit: 1_0',
            b'Server-Limit: \xd9\xa3',
            b'Server-Limit: ' + b'9' * 5000,
        ):
            with self.subTest(line=line[:40]):
                observer = RecordingObserver()
                outcome = self._call(line, observer)
                self.assertIsInstance(outcome, AttemptAnswered)
                self.assertEqual(observer.limits, [])

    def test_signatures(self) -> None:
        """An answer whose signature is none is lost, as an unsigned one."""
        for stamp in (b'a, b', b'a b', b's\xff', b's\x1b'):
            with self.subTest(stamp=stamp):
                answer = COMPLETE_ANSWER.replace(b': s\r', b': %s\r' % stamp, 1)
                outcome = run_calls(RawTarget(answer))[0]
                self.assertEqual(
                    outcome, AttemptLost('answer.unsigned', responded=True)
                )

    def _call(self, line: bytes, observer: RecordingObserver) -> object:
        answer = COMPLETE_ANSWER.replace(
            b'Server-Stamp', line + b'\r\nServer-Stamp', 1
        )
        return run_calls(RawTarget(answer), observer=observer)[0]
