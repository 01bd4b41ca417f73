"""Tests of answers, files and commands that the tool cannot use."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import msgspec

from oriolestage.core import ChangeRefusedError, RemoveRoute, RevisionRecord
from oriolestage.tool import ExitCode, load_document
from oriolestage.tool.__main__ import run
from oriolestage.tool._tables import history_row
from oriolestage.tool.tests.daemons import ToolRun, running_daemon

#: Lists nested deeper than any recursion limit of a decoder.
DEEP_LISTS = b'[' * 100_000 + b']' * 100_000
MANY_DIGITS = '9' * 5000


class BadAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer that cannot be read ends the command with one line."""

    async def test_bad_answers(self) -> None:
        """Guards against a traceback, and a change reported as not made."""
        cases = (
            ('deep lists', DEEP_LISTS, 200),
            ('deep lists in a field', b'{"x":%s}' % DEEP_LISTS, 200),
            ('not UTF-8', b'{"host":"\xff\xfe"}', 200),
            ('cut off', b'{"host":"entry-1', 200),
            ('wrong type', b'{"host":7}', 200),
            ('text', b'500 Internal Server Error', 500),
            ('error', b'{"type":"error","why":"internal error"}', 500),
        )
        commands = (
            ('show hosts', ExitCode.UNREACHABLE),
            ('compare 1 with 9', ExitCode.UNREACHABLE),
            ('watch revision 3', ExitCode.UNREACHABLE),
            ('remove route search', ExitCode.UNKNOWN),
        )
        for name, answer, status in cases:
            for command, expected in commands:
                with self.subTest(answer=name, command=command):
                    async with running_daemon(answer, status) as host:
                        tool = ToolRun(host)
                        code = await tool.run(command)
                    self.assertIs(code, expected)
                    self.assertEqual(len(tool.errors), 1)
                    self.assertLess(len(tool.errors[0]), 700)
                    self.assertIn(host, tool.errors[0])

    async def test_lost_answer_to_change(self) -> None:
        """Guards against a change that was made and is reported as not made.

        The operator is told the command id, which the history shows.
        """
        async with running_daemon(b'', 0) as host:
            tool = ToolRun(host)
            code = await tool.run('remove route search')
        self.assertIs(code, ExitCode.UNKNOWN)
        self.assertRegex(tool.errors[0], 'unknown: command [0-9a-f]{32}:')
        self.assertRegex(tool.errors[0], '--command-id [0-9a-f]{32}')

    async def test_command_id_of_a_repeated_change(self) -> None:
        """A change that is sent again has the command id that was given."""
        async with running_daemon(b'', 0) as host:
            tool = ToolRun(host, command_id='again')
            await tool.run('remove route search')
        self.assertIn('unknown: command again:', tool.errors[0])

    def test_command_id_without_command(self) -> None:
        """A command id is not used for several commands."""
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            code = run(command_id='again')
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn('--command-id', errors.getvalue())

    async def test_no_connection(self) -> None:
        """A change that was not sent is reported as such."""
        tool = ToolRun('127.0.0.1:1')
        code = await tool.run('remove route search')
        self.assertIs(code, ExitCode.UNREACHABLE)


class BadCommandTest(unittest.IsolatedAsyncioTestCase):
    """Numbers out of range are errors of the command."""

    async def test_many_digits(self) -> None:
        """Guards against a traceback of int() or of the size of a range."""
        for digits in (MANY_DIGITS, '9' * 30):
            commands = (
                f'show targets last {digits}',
                f'compare 1 with {digits}',
                f'watch revision {digits}',
                f'watch for {digits}ms',
                f'set limit t slots {digits} connections 1',
            )
            for command in commands:
                with self.subTest(command[:30], digits=len(digits)):
                    tool = ToolRun('127.0.0.1:1')
                    code = await tool.run(command)
                    self.assertIs(code, ExitCode.USAGE)
                    self.assertIn('15 digits', tool.errors[0])

    def test_file_that_is_not_utf8(self) -> None:
        """A file of commands that cannot be read is refused."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'commands'
            path.write_bytes(b'show hosts\n\xff\xfe\n')
            with contextlib.redirect_stderr(io.StringIO()) as errors:
                code = run(file=path)
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn('commands', errors.getvalue())


class BadDocumentTest(unittest.TestCase):
    """A document that cannot be read is refused with the file and reason."""

    def test_bad_documents(self) -> None:
        """Guards against tracebacks of the YAML parser."""
        cases = (
            ('deep lists', '[' * 5000 + ']' * 5000),
            ('impossible date', 'routes: 2001-99-99'),
            ('many digits', f'revision: {MANY_DIGITS}'),
            ('negative', 'revision: -1'),
            ('control character', 'routes: \x00'),
            ('alias of itself', 'routes: &a [*a]'),
        )
        for name, text in cases:
            with self.subTest(name):
                with tempfile.TemporaryDirectory() as folder:
                    path = Path(folder) / 'document.yaml'
                    path.write_text(text, 'utf-8')
                    with self.assertRaisesRegex(ChangeRefusedError, str(path)):
                        load_document(path)


class HistoryRowTest(unittest.TestCase):
    """Each record of the history can be shown."""

    def test_times_out_of_range(self) -> None:
        """Guards against a record that hides the whole history."""
        for at_ms in (0, 9_000_000_000_000_000):
            with self.subTest(at_ms):
                record = RevisionRecord(
                    1, RemoveRoute('r'), 'tests', 'c', at_ms, '', ''
                )
                decoded = msgspec.json.decode(
                    msgspec.json.encode(record), type=RevisionRecord
                )
                self.assertTrue(history_row(decoded)['when'])
