"""Tests that run the daemon and the tool with invalid input."""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
import msgspec
import yaml

from oriolestage.core import RevisionRecord, SetTargetLimits
from oriolestage.daemon.tests.processes import (
    Trial,
    exchange_raw,
    running_trial,
    small_layout,
)
from oriolestage.daemon.tests.test_settings import valid_settings
from trial.layout import CALLERS_PORT

#: Part of the link target in /proc of a descriptor of io_uring.
IO_URING = 'io_uring'


def open_descriptors(pid: int) -> list[str]:
    """Return the link targets in /proc of a process's open descriptors."""
    folder = Path(f'/proc/{pid}/fd')
    links: list[str] = []
    for descriptor in folder.iterdir():
        with contextlib.suppress(OSError):
            links.append(os.readlink(descriptor))
    return links


class BadSettingsTest(unittest.TestCase):
    """Invalid settings stop the daemon with one line and exit code 2."""

    def test_bad_files(self) -> None:
        """The error names the unknown key, or says that it is not YAML."""
        cases = (
            ('broken', 'name: [', 'not YAML'),
            ('unknown', yaml.safe_dump({**valid_settings(), 'x': 1}), '`x`'),
        )
        for name, text, expected in cases:
            with self.subTest(name):
                code, output = self._start(text)
                self.assertEqual(code, 2)
                self.assertIn(expected, output)
                self.assertEqual(output.count('\n'), 1)

    def test_port_in_use(self) -> None:
        """The error names the key of an address that is in use."""
        content = valid_settings()
        content['listen']['callers'] = content['listen']['operators']
        code, output = self._start(yaml.safe_dump(content))
        self.assertEqual(code, 2)
        self.assertIn('$.listen.callers', output)

    def _start(self, text: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.yaml'
            path.write_text(text)
            ended = subprocess.run(
                [sys.executable, '-m', 'oriolestage.daemon', str(path)],
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )
            return ended.returncode, ended.stderr


class RunningProgramsTest(unittest.IsolatedAsyncioTestCase):
    """Invalid input to a running system causes errors and no failure."""

    async def test_bad_input(self) -> None:
        """Requests, bytes and commands are refused; then a query succeeds.

        The daemon and the tool must not use io_uring, which the platform
        forbids.
        """
        async with running_trial(small_layout()) as trial:
            await self._bad_requests(trial)
            await self._bad_bytes(trial)
            await self._bad_commands(trial)
            await self._bad_store_value(trial)
            await self._no_io_uring(trial)
            status, body = await self._send_request(trial, b'{"query": 1}', {})
            self.assertEqual(status, 200)
            self.assertIn(b'"whole":true', body)
            self.assertEqual(await trial.stop_host('entry-1'), 0)

    async def _bad_requests(self, trial: Trial) -> None:
        cases: tuple[tuple[str, bytes, dict, int, bytes], ...] = (
            ('not JSON', b'{', {}, 400, b'not JSON'),
            ('deep JSON', b'[' * 9000, {}, 400, b'not JSON'),
            ('long', b'"%s"' % (b'x' * 99_999), {}, 413, b'limit'),
            (
                'negative deadline',
                b'1',
                {'X-Request-Timeout-Ms': '-5'},
                400,
                b'whole number',
            ),
            (
                'deadline out of range',
                b'1',
                {'X-Request-Timeout-Ms': '9' * 30},
                400,
                b'whole number',
            ),
            (
                'key without time',
                b'1',
                {'Idempotency-Key': 'again'},
                400,
                b'version 7',
            ),
            ('invalid id', b'1', {'X-Request-Id': 'a b'}, 400, b'X-Request-Id'),
        )
        for name, body, headers, expected, expected_text in cases:
            with self.subTest(name):
                status, answer = await self._send_request(trial, body, headers)
                self.assertEqual(status, expected)
                self.assertIn(expected_text, answer)
        status, answer = await self._send_request(
            trial, b'1', {}, route='ghost'
        )
        self.assertEqual(status, 404)
        self.assertIn(b'unknown_route', answer)

    async def _bad_bytes(self, trial: Trial) -> None:
        address = trial.host('entry-1').address(CALLERS_PORT)
        line = b'POST /v1/requests/sitter-app HTTP/1.1\r\nHost: x\r\n'
        cases = (
            ('line break in the id', b'X-Request-Id: a\rb\r\n\r\n'),
            ('id of a megabyte', b'X-Request-Id: %s\r\n\r\n' % (b'a' * 2**20)),
        )
        for name, rest in cases:
            with self.subTest(name):
                try:
                    response = await exchange_raw(address, line + rest)
                except ConnectionError:
                    continue
                self.assertIn(b' 400 ', response.split(b'\r\n')[0])

    async def _bad_commands(self, trial: Trial) -> None:
        cases = (
            ('take out datacenter ege-a', 2, 'expected "datacentre"'),
            ('add route r to ghost', 3, "group 'ghost'"),
            ('take out target sitter-app-9-9', 3, 'no target named'),
            ('compare 1 with 9', 3, 'revisions in between'),
            ('apply ./nothing.yaml', 3, 'No such file'),
            ('show history', 0, 'document'),
        )
        for command, expected, expected_text in cases:
            with self.subTest(command):
                code, output = await trial.operate(*command.split())
                if code != expected:
                    self.fail(f'{output}\n{trial.describe("entry-1")}')
                self.assertIn(expected_text, output)
        code, _ = await trial.operate('show', 'hosts', hosts='127.0.0.1:1')
        self.assertEqual(code, 7)

    async def _bad_store_value(self, trial: Trial) -> None:
        """A value that no host can decode is named, and skipped if replaced.

        The next change is refused meanwhile, and made after the key is gone.
        """
        code, output = await trial.operate('show', 'history', '--json')
        self.assertEqual(code, 0, output)
        revision = max(int(row['revision']) for row in json.loads(output))
        key = f'config/revision/{revision + 1:010d}'
        deep_lists = b'{"revision":%s}' % (b'[' * 2000 + b']' * 2000)
        await self._write_value(trial, key, deep_lists, expected=0)
        change = 'set limit sitter-app-1-1 slots 8 connections 25'
        code, output = await trial.operate(*change.split())
        self.assertEqual(code, 3, output)
        self.assertIn(key, output)
        code, output = await trial.operate('show', 'configuration')
        self.assertEqual(code, 0)
        self.assertIn(f'cannot use the value of the store key {key}', output)
        record = RevisionRecord(
            revision=revision + 1,
            change=SetTargetLimits('sitter-app-1-1', 8, 25),
            operator='tests',
            command_id='repaired',
            at_ms=1,
            before='',
            after='',
        )
        repaired = msgspec.json.encode(record)
        await self._write_value(trial, key, repaired, expected=1)
        command = f'watch revision {revision + 1} for 5s'
        code, output = await trial.operate(*command.split())
        self.assertEqual(code, 0, output)

    async def _write_value(
        self, trial: Trial, key: str, content: bytes, expected: int
    ) -> None:
        """Write a key of the store as another writer."""
        url = f'{trial.platform_url}/v1/kv/{key}?expected={expected}&ttl_s=0'
        async with aiohttp.ClientSession() as session:
            async with session.put(url, data=content) as response:
                self.assertEqual(response.status, 200)

    async def _no_io_uring(self, trial: Trial) -> None:
        daemon = trial.process('entry-1').pid
        self.assertFalse(_uses_io_uring(daemon))
        tool = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'oriolestage.tool',
            '--host',
            trial.operator_address('entry-1'),
            *'watch revision 99 for 2s'.split(),
            stdout=asyncio.subprocess.DEVNULL,
        )
        while not _has_event_loop(tool.pid):
            await asyncio.sleep(0.02)
        self.assertFalse(_uses_io_uring(tool.pid))
        self.assertEqual(await tool.wait(), 6)

    async def _send_request(
        self,
        trial: Trial,
        body: bytes,
        headers: dict[str, str],
        route: str = 'sitter-app',
    ) -> tuple[int, bytes]:
        address = trial.host('entry-1').address(CALLERS_PORT)
        url = f'http://{address}/v1/requests/{route}'
        async with aiohttp.ClientSession() as session:
            async with session.post(
                url,
                data=body,
                headers=headers,
            ) as response:
                return response.status, await response.read()


def _uses_io_uring(pid: int) -> bool:
    return any(IO_URING in link for link in open_descriptors(pid))


def _has_event_loop(pid: int) -> bool:
    return any('eventpoll' in link for link in open_descriptors(pid))
