"""A load of callers, and what they got."""

import asyncio
import dataclasses
import random
import time
from collections import Counter

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from oriolestage.core import KEY_SPACE_SIZE, RouteKind, make_key
from trial.layout import Layout

#: Largest latency recorded, in microseconds.
MAX_LATENCY_US = 120_000_000
#: Random bits of an idempotency key.
KEY_BITS = 74
#: Times that one command is sent, and the wait in between in seconds.
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.1
#: Distinct callers.
CALLERS = 20
BOOKING_BYTES = 8
#: Distinct queries that callers ask.
DISTINCT_QUERIES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """One answer as its caller saw it."""

    route: str
    at: float
    latency_s: float
    status: int
    #: ``whole``, ``partial``, ``command_answer``, ``not_run``,
    #: ``may_have_run``, ``failed`` or ``wrong``.
    outcome: str
    #: Reason of a refusal, or detail of a failure.
    detail: str = ''
    covered_share: float = 0
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAttempt:
    """One sending of a request, by the name its caller gave it."""

    request_id: str
    #: Names the work of a command; empty for queries.
    booking: str
    #: Wall-clock time in seconds.
    sent_at: float
    result: AttemptResult


class LoadResults:
    """Collects what callers got."""

    def __init__(self) -> None:
        """Start empty."""
        self.answers: list[AttemptResult] = []
        self.attempts: list[CallerAttempt] = []

    def outcomes(self) -> Counter[str]:
        """Count answers by outcome."""
        return Counter(answer.outcome for answer in self.answers)

    def refusals(self) -> Counter[str]:
        """Count refusals by outcome and reason."""
        return Counter(
            f'{answer.outcome}: {answer.detail}'
            for answer in self.answers
            if answer.detail
        )

    def histogram(self, route: str = '') -> HdrHistogram:
        """Give the latencies of answers, in microseconds."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for answer in self.answers:
            if route and answer.route != route:
                continue
            micros = max(1, int(answer.latency_s * 1_000_000))
            histogram.record_value(min(micros, MAX_LATENCY_US))
        return histogram

    def coverage(self) -> float:
        """Give the mean share of the key space that queries covered."""
        shares = [
            answer.covered_share
            for answer in self.answers
            if answer.outcome in {'whole', 'partial'}
        ]
        return sum(shares) / len(shares) if shares else 0


class LoadGenerator:
    """Sends queries and commands at a steady rate."""

    def __init__(
        self,
        layout: Layout,
        callers_url: str,
        rate: float,
        seed: int,
    ) -> None:
        """Send ``rate`` requests a second in all."""
        self._routes = layout.configuration.routes
        self._url = callers_url
        self._rate = rate
        self._random = random.Random(seed)
        self._stopped = False
        self._number = 0
        #: When true, commands without an answer are sent again.
        self.retry_commands = False
        self.results = LoadResults()

    def stop(self) -> None:
        """Send no more."""
        self._stopped = True

    async def run(self, duration_s: float) -> LoadResults:
        """Send for a while, then wait for the last answers."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        sent = 0
        timeout = aiohttp.ClientTimeout(total=30)
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(
                timeout=timeout,
                connector=connector,
            ) as session,
            asyncio.TaskGroup() as group,
        ):
            while not self._stopped:
                elapsed_s = loop.time() - started_at
                if elapsed_s >= duration_s:
                    break
                while sent < elapsed_s * self._rate:
                    group.create_task(self._send(session))
                    sent += 1
                await asyncio.sleep(0.005)
        return self.results

    async def _send(self, session: aiohttp.ClientSession) -> None:
        route = self._random.choice(self._routes)
        caller = f'caller-{self._random.randrange(CALLERS)}'
        if route.kind is RouteKind.QUERY:
            query = {'query': self._random.randrange(DISTINCT_QUERIES)}
            await self.send_one(session, route.name, query, caller, '')
            return
        booking = {'booking': self._random.randbytes(BOOKING_BYTES).hex()}
        key = make_key(
            int(time.time() * 1000),
            self._random.getrandbits(KEY_BITS),
        )
        for _ in range(MAX_ATTEMPTS if self.retry_commands else 1):
            answer = await self.send_one(
                session,
                route.name,
                booking,
                caller,
                key,
            )
            if answer.outcome == 'command_answer':
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def send_one(
        self,
        session: aiohttp.ClientSession,
        route: str,
        body: dict,
        caller: str,
        key: str,
    ) -> AttemptResult:
        """Send one request and note its answer."""
        self._number += 1
        headers = {
            'X-Caller': caller,
            'X-Request-Id': f'request-{self._number}',
        }
        if key:
            headers['Idempotency-Key'] = key
        sent_at = time.time()
        answer = await ask(session, self._url, route, body, headers)
        self.results.answers.append(answer)
        self.results.attempts.append(
            CallerAttempt(
                headers['X-Request-Id'],
                body.get('booking', ''),
                sent_at,
                answer,
            ),
        )
        return answer


async def ask(
    session: aiohttp.ClientSession,
    url: str,
    route: str,
    body: dict[str, object],
    headers: dict[str, str],
) -> AttemptResult:
    """Send one request and look at its answer."""
    started = time.monotonic()
    status = 0
    try:
        async with session.post(
            f'{url}/v1/requests/{route}',
            json=body,
            headers=headers,
        ) as response:
            status = response.status
            content = await response.read()
        answer = msgspec.json.decode(content)
        outcome, detail, share, wait_ms = classify_answer(answer)
    except (aiohttp.ClientError, TimeoutError) as error:
        outcome, detail, share, wait_ms = 'failed', repr(error), 0, 0
    except msgspec.DecodeError:
        outcome, detail, share, wait_ms = 'failed', f'status {status}', 0, 0
    return AttemptResult(
        route,
        started,
        time.monotonic() - started,
        status,
        outcome,
        detail,
        share,
        wait_ms,
    )


def classify_answer(answer: dict) -> tuple[str, str, float, int]:
    """Check an answer against itself; give outcome, detail, share, wait."""
    match answer.get('type'):
        case 'answer':
            return (*_judge_query(answer), 0)
        case 'command_answer':
            return 'command_answer', '', 0, 0
        case 'not_run' | 'may_have_run':
            wait_ms = answer.get('retry_after_ms', 0)
            return answer['type'], answer['reason'], 0, wait_ms
    return 'failed', str(answer)[:100], 0, 0


def _judge_query(answer: dict) -> tuple[str, str, float]:
    rows = [row for shard in answer['rows'] for row in shard]
    if any(row['version'] != answer['version'] for row in rows):
        return 'wrong', 'two versions in one answer', 0
    if any(row['request'] != answer['request_id'] for row in rows):
        return 'wrong', "another request's rows", 0
    read = sorted(row['range'] for row in rows)
    overlap = any(
        later[0] < earlier[1] for earlier, later in zip(read, read[1:])
    )
    read_keys = sum(end - start for start, end in read)
    claimed = sum(end - start for start, end in answer['covered'])
    if overlap or read_keys != claimed:
        return 'wrong', 'coverage is not what was read', 0
    outcome = 'whole' if answer['whole'] else 'partial'
    return outcome, '', claimed / KEY_SPACE_SIZE
