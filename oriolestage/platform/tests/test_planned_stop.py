"""Tests of a planned stop of an entry host, as a process."""

import asyncio
import contextlib
import signal
import time
import types
import unittest
from collections.abc import Mapping

from oriolestage.platform import _names
from oriolestage.platform.tests.stopped_host import (
    GRACE_S,
    WORK_HEADER,
    Exchange,
    StoppedHost,
)

#: Times of work of the requests, one after another, in seconds.
WORK_S = (0.3, 2.2, 0.9, 1.6, 0.5, 1.2)
CALLERS = 8
#: Time of traffic before the stop, in seconds: until connections are kept.
BEFORE_S = 3.5
#: Time within which a host without requests ends, in seconds.
IDLE_STOP_S = 3.5
#: Time for which a caller pauses within a request, in seconds.
PAUSE_S = 0.5
#: Headers of a request that is over long before the end of the grace, and of
#: one that takes longer than it.
SHORT: Mapping[str, str] = types.MappingProxyType(
    {_names.DEADLINE_HEADER: '2000', WORK_HEADER: '0.3'}
)
LONG: Mapping[str, str] = types.MappingProxyType(
    {WORK_HEADER: str(2 * GRACE_S)}
)
#: Headers of the requests that are under way in a stop.
REQUESTS: Mapping[str, Mapping[str, str]] = types.MappingProxyType(
    {
        'head in two parts': SHORT,
        'body in two parts': SHORT,
        'incomplete body': LONG,
        'first': SHORT,
        'behind it': SHORT,
        'outlasts the host': LONG,
        'late and short': SHORT,
        'late and long': LONG,
    }
)
#: Their statuses other than 200. The one that was run may have had an effect,
#: so its answer promises nothing.
STATUSES: Mapping[str, int] = types.MappingProxyType(
    {'incomplete body': 503, 'late and long': 503, 'outlasts the host': 502}
)
#: Time within which a host that is being stopped is no longer registered, and
#: interval of looking, in seconds.
WITHDRAWAL_S = 1.0
WATCH_INTERVAL_S = 0.05
BODY = b'{"visit": 1}'
LONG_TIMEOUT_MS = 30000


async def _stop_under_load(host: StoppedHost) -> tuple[int, float]:
    """Stop a host to which callers send requests all the time.

    Return its exit code and the time until it ended in seconds.
    """
    until = time.monotonic() + BEFORE_S + GRACE_S
    callers = [
        asyncio.create_task(host.call_back_to_back(until))
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(BEFORE_S)
    host.stop()
    end = await host.wait_end()
    await asyncio.gather(*callers)
    return end


async def _send_in_parts(
    host: StoppedHost, exchange: Exchange, *parts: bytes
) -> None:
    """Send a request in parts, with a pause after each, and read the answer."""
    reader, writer = await host.connect()
    with contextlib.closing(writer):
        for part in parts:
            writer.write(part)
            await asyncio.sleep(PAUSE_S)
        await host.read_answer(reader, exchange)


async def _send_at_once(host: StoppedHost, *exchanges: Exchange) -> None:
    """Send requests in one piece and read the answers."""
    reader, writer = await host.connect()
    with contextlib.closing(writer):
        writer.write(b''.join(exchange.request for exchange in exchanges))
        for exchange in exchanges:
            exchange.sent_at = time.monotonic()
        for exchange in exchanges:
            await host.read_answer(reader, exchange)


async def _stop_with_requests_under_way(
    host: StoppedHost,
) -> Mapping[str, Exchange]:
    """Stop a host while requests arrive, run and wait behind others.

    Send further signals, which change nothing, and further requests. Return
    the requests by what is special about them.
    """
    exchanges = {
        name: host.build_request(BODY, headers)
        for name, headers in REQUESTS.items()
    }
    head = exchanges['head in two parts']
    body = exchanges['body in two parts']
    calls = [
        _send_in_parts(host, head, head.request[:20], head.request[20:]),
        _send_in_parts(host, body, body.request[:-4], body.request[-4:]),
        _send_in_parts(
            host,
            exchanges['incomplete body'],
            exchanges['incomplete body'].request[:-4],
        ),
        _send_at_once(host, exchanges['first'], exchanges['behind it']),
        _send_at_once(host, exchanges['outlasts the host']),
    ]
    running = asyncio.gather(*calls)
    await asyncio.sleep(PAUSE_S / 2)
    host.stop()
    for number in (signal.SIGHUP, signal.SIGTERM):
        await asyncio.sleep(PAUSE_S / 2)
        host.send_signal(number)
    await _send_at_once(host, exchanges['late and short'])
    await _send_at_once(host, exchanges['late and long'])
    await running
    return exchanges


async def _send_nothing(host: StoppedHost) -> float:
    """Connect, send nothing, and return when the host closes."""
    reader, writer = await host.connect()
    with contextlib.closing(writer), contextlib.suppress(OSError):
        await reader.read()
    return time.monotonic()


async def _watch_registration(host: StoppedHost) -> list[float]:
    """Return when a host was registered while it was being stopped.

    The times are in seconds since the stop.
    """
    assert host.process is not None
    key = f'{_names.HOST_PREFIX}{host.name}'
    times: list[float] = []
    while host.process.returncode is None:
        if host.store.holds(key):
            times.append(time.monotonic() - host.stopped_at)
        await asyncio.sleep(WATCH_INTERVAL_S)
    return [after_s for after_s in times if after_s > 0]


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """A planned stop answers every request that it has taken."""

    async def start_host(self, timeout_ms: int = 3000) -> StoppedHost:
        """Return a running host that ends with the test."""
        host = StoppedHost(WORK_S, timeout_ms=timeout_ms)
        self.addAsyncCleanup(host.close)
        await host.start()
        return host

    async def test_requests_late_in_the_grace(self) -> None:
        """Guards against requests that are passed on and cut by the end."""
        host = await self.start_host()
        code, took_s = await _stop_under_load(host)
        self.assertEqual(host.unanswered(), [], host.log)
        refused = [
            exchange for exchange in host.exchanges if exchange.status == 503
        ]
        self.assertTrue(refused)
        for exchange in refused:
            self.assertGreater(float(exchange.headers['retry-after']), 0)
            self.assertEqual(exchange.headers['connection'], 'close')
        kept = [
            exchange
            for exchange in host.exchanges
            if exchange.status and 'connection' not in exchange.headers
        ]
        self.assertTrue(kept, 'no connection was kept before the stop')
        self.assertEqual(code, 0)
        self.assertLess(took_s, GRACE_S)
        self.assertIn('cut=0', host.log_lines('stopped')[0])

    async def test_requests_under_way(self) -> None:
        """Guards against requests that are half read or queued and lost."""
        host = await self.start_host(LONG_TIMEOUT_MS)
        silent = asyncio.create_task(_send_nothing(host))
        watching = asyncio.create_task(_watch_registration(host))
        exchanges = await _stop_with_requests_under_way(host)
        code, took_s = await host.wait_end()
        self.assertEqual(code, 0)
        self.assertLess(took_s, GRACE_S)
        registered = [time for time in await watching if time > WITHDRAWAL_S]
        self.assertEqual(registered, [], 'registered again')
        self.assertLess(await silent - host.stopped_at, IDLE_STOP_S)
        for name, exchange in exchanges.items():
            with self.subTest(name=name):
                self.assertEqual(exchange.status, STATUSES.get(name, 200))
                run = exchange.request_id in host.target.received
                self.assertEqual(run, exchange.status != 503)
        refused = exchanges['late and long']
        self.assertLess(refused.ended_at - refused.sent_at, PAUSE_S)
        self.assertIn('cut=1', host.log_lines('stopped')[0])
        cut = host.log_lines('request_cut')
        self.assertEqual(len(cut), 1)
        identity = exchanges['outlasts the host'].request_id
        self.assertIn(f'id={identity} ', cut[0])
        self.assertIn('phase=targets', cut[0])

    async def test_no_requests(self) -> None:
        """A host without requests ends soon, also while the store is down."""
        host = await self.start_host()
        host.store.silent = True
        host.stop()
        code, took_s = await host.wait_end()
        self.assertEqual(code, 0)
        self.assertLess(took_s, IDLE_STOP_S)

    async def test_refused_withdrawal(self) -> None:
        """Guards against a host that stays registered after its end.

        The store turned the call away that ends its lease.
        """
        host = await self.start_host()
        host.store.refused_ends = 1
        host.stop()
        await host.wait_end()
        self.assertEqual(host.store.refused_ends, 0)
        self.assertFalse(host.store.holds(f'{_names.HOST_PREFIX}{host.name}'))

    async def test_stop_before_the_first_read(self) -> None:
        """A host that was never ready ends at once."""
        host = StoppedHost(WORK_S)
        self.addAsyncCleanup(host.close)
        host.store.silent = True
        await host.start(wait_ready=False)
        await host.wait_connectable()
        host.stop()
        code, took_s = await host.wait_end()
        self.assertEqual(code, 0)
        self.assertLess(took_s, 2)
