"""Generates the load of callers and checks the answers."""

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

#: Upper limit of recorded latencies, in microseconds.
MAX_LATENCY_US = 120_000_000
#: Random bits of an idempotency key.
KEY_BITS = 74
#: Largest number of times that a command is sent, and the delay before it is
#: sent again, in seconds.
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.1
#: Number of distinct callers.
CALLERS = 20
#: Random bytes of the identifier of a command.
BOOKING_BYTES = 8
#: Number of distinct queries.
DISTINCT_QUERIES = 500


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt of a request, as its caller saw it."""

    route: str
    #: Time in seconds: in trials the monotonic time of sending, in simulations
    #: the scenario time of the result.
    at: float
    latency_s: float
    status: int
    #: ``whole``, ``partial``, ``command_answer``, ``not_run``,
    #: ``may_have_run``, ``failed`` or ``wrong``.
    outcome: str
    #: The reason of a refusal, or what failed or was wrong.
    detail: str = ''
    #: Share of the key space that a query covered.
    covered_share: float = 0
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAttempt:
    """One attempt of a request; each attempt has a request ID of its own."""

    request_id: str
    #: Identifies a command across its attempts; empty for queries.
    booking: str
    #: Wall-clock time in seconds.
    sent_at: float
    result: AttemptResult


class LoadResults:
    """Collects the results of all attempts."""

    def __init__(self) -> None:
        """Start with no results."""
        #: Results of all attempts, including those that got no answer.
        self.answers: list[AttemptResult] = []
        #: The same results with the request IDs and times of sending.
        self.attempts: list[CallerAttempt] = []

    def outcomes(self) -> Counter[str]:
        """Return the number of attempts by outcome."""
        return Counter(answer.outcome for answer in self.answers)

    def refusals(self) -> Counter[str]:
        """Return the number of attempts with a detail, by outcome and detail."""
        return Counter(
            f'{answer.outcome}: {answer.detail}'
            for answer in self.answers
            if answer.detail
        )

    def histogram(self, route: str = '') -> HdrHistogram:
        """Return latencies in microseconds, of all routes if none is given."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for answer in self.answers:
            if route and answer.route != route:
                continue
            micros = max(1, int(answer.latency_s * 1_000_000))
            histogram.record_value(min(micros, MAX_LATENCY_US))
        return histogram

    def coverage(self) -> float:
        """Return the mean share of the key space that answered queries covered."""
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
        """Send ``rate`` requests per second over all routes."""
        self._routes = layout.configuration.routes
        self._url = callers_url
        self._rate = rate
        self._random = random.Random(seed)
        self._stopped = False
        self._last_number = 0
        #: Whether a command is sent again until it gets a command answer, at
        #: most ``MAX_ATTEMPTS`` times in all.
        self.retry_commands = False
        self.results = LoadResults()

    def stop(self) -> None:
        """Stop sending new requests."""
        self._stopped = True

    async def run(self, duration_s: float) -> LoadResults:
        """Send for ``duration_s`` seconds, then wait for the last answers."""
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
        """Send one request and record its result.

        An empty ``key`` sends no ``Idempotency-Key`` header.
        """
        self._last_number += 1
        headers = {
            'X-Caller': caller,
            'X-Request-Id': f'request-{self._last_number}',
        }
        if key:
            headers['Idempotency-Key'] = key
        sent_at = time.time()
        answer = await send_request(session, self._url, route, body, headers)
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


async def send_request(
    session: aiohttp.ClientSession,
    url: str,
    route: str,
    body: dict[str, object],
    headers: dict[str, str],
) -> AttemptResult:
    """Send one request and return its classified result."""
    started_at = time.monotonic()
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
        outcome, detail, covered_share, retry_after_ms = classify_answer(answer)
    except (aiohttp.ClientError, TimeoutError) as error:
        outcome, detail, covered_share, retry_after_ms = (
            'failed',
            repr(error),
            0,
            0,
        )
    except msgspec.DecodeError:
        outcome, detail, covered_share, retry_after_ms = (
            'failed',
            f'status {status}',
            0,
            0,
        )
    return AttemptResult(
        route,
        started_at,
        time.monotonic() - started_at,
        status,
        outcome,
        detail,
        covered_share,
        retry_after_ms,
    )


def classify_answer(answer: dict) -> tuple[str, str, float, int]:
    """Return outcome, detail, covered share and retry delay of an answer.

    The outcome is ``wrong`` if the rows of a query contradict its version,
    request ID or coverage. The retry delay is in milliseconds.
    """
    match answer.get('type'):
        case 'answer':
            return (*_classify_query_answer(answer), 0)
        case 'command_answer':
            return 'command_answer', '', 0, 0
        case 'not_run' | 'may_have_run':
            retry_after_ms = answer.get('retry_after_ms', 0)
            return answer['type'], answer['reason'], 0, retry_after_ms
    return 'failed', str(answer)[:100], 0, 0


def _classify_query_answer(answer: dict) -> tuple[str, str, float]:
    rows = [row for shard in answer['rows'] for row in shard]
    if any(row['version'] != answer['version'] for row in rows):
        return 'wrong', 'two versions in one answer', 0
    if any(row['request'] != answer['request_id'] for row in rows):
        return 'wrong', "another request's rows", 0
    read_ranges = sorted(row['range'] for row in rows)
    overlap = any(
        later[0] < earlier[1]
        for earlier, later in zip(read_ranges, read_ranges[1:])
    )
    read_keys = sum(end - start for start, end in read_ranges)
    claimed_keys = sum(end - start for start, end in answer['covered'])
    if overlap or read_keys != claimed_keys:
        return 'wrong', 'coverage is not what was read', 0
    outcome = 'whole' if answer['whole'] else 'partial'
    return outcome, '', claimed_keys / KEY_SPACE_SIZE
