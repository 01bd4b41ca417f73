"""Tests of a planned stop of a daemon, as a process."""

import asyncio
import signal
import unittest
from collections import Counter

import aiohttp

from oriolestage.daemon.tests.processes import Trial, running_trial
from trial.http_calls import post
from trial.layout import CALLERS_PORT, association, make_layout

CALLERS = 8
#: Time that targets work on a request, in milliseconds.
WORK_MS = 200
#: Time of traffic before the stop, in seconds.
BEFORE_S = 1.0
#: Settings of the trial: time for the balancer to notice, and for requests.
NOTICE_S = 1.0
DEADLINE_S = 10.0
#: Time for the last replies and the end of the process, in seconds.
END_S = 2.0
#: Timeout of a request that ends in time, and of one that does not.
SHORT_TIMEOUT_MS = 3000
LONG_TIMEOUT_MS = 60_000


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """A planned stop answers every request that it has taken."""

    async def test_callers_that_keep_connections(self) -> None:
        """Guards against a stop that waits for callers who never pause.

        It went on until its deadline and cut what was in flight then; the
        process waited a minute for those.
        """
        layout = make_layout([association(1)], host_count=2)
        async with running_trial(layout) as trial:
            for placed in layout.targets:
                await post(
                    f'http://{placed.target.address}/control',
                    {'service_ms': WORK_MS, 'cold': False},
                )
            statuses: Counter[int] = Counter()
            lost: list[str] = []
            calling = [
                asyncio.create_task(_call_back_to_back(trial, statuses, lost))
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(BEFORE_S)
            process = trial.process('entry-1')
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(NOTICE_S / 2)
            late = await _call(trial, LONG_TIMEOUT_MS)
            async with asyncio.timeout(NOTICE_S + DEADLINE_S + END_S):
                code = await process.wait()
                await asyncio.gather(*calling)
            self.assertEqual(code, 0, trial.describe('entry-1'))
            self.assertEqual(late[0], 503)
            self.assertIn(b'"stopping"', late[1])
            self.assertEqual(lost, [], 'requests without an answer')
            self.assertGreater(statuses[200], CALLERS)


async def _call_back_to_back(
    trial: Trial, statuses: Counter[int], lost: list[str]
) -> None:
    """Send the next request as soon as one is answered.

    Ends once the host accepts no connection any more. The errors of requests
    that got no complete answer are added to ``lost``.
    """
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                status, _ = await _call(trial, SHORT_TIMEOUT_MS, session)
            except aiohttp.ClientConnectorError:
                return
            except aiohttp.ClientError as error:
                lost.append(repr(error))
                return
            statuses[status] += 1


async def _call(
    trial: Trial,
    timeout_ms: int,
    session: aiohttp.ClientSession | None = None,
) -> tuple[int, bytes]:
    """Send a command; return the status and the body of the answer."""
    if session is None:
        async with aiohttp.ClientSession() as own:
            return await _call(trial, timeout_ms, own)
    address = trial.host('entry-1').address(CALLERS_PORT)
    async with session.post(
        f'http://{address}/v1/requests/visit-log',
        json={'booking': 'a'},
        headers={'X-Request-Timeout-Ms': str(timeout_ms)},
    ) as response:
        return response.status, await response.read()
