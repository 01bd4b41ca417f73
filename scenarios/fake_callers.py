"""Simulated callers behind a load balancer.

A caller retries a command that got no answer, or the answer ``not_run`` or
``may_have_run``. It sends the same idempotency key through a host chosen anew.
"""

import dataclasses
import functools
import json

import msgspec

from oriolestage.core import AnswerCaller, CallerRequest, RouteKind, make_key
from oriolestage.views import caller_view
from scenarios.observations import Answer
from scenarios.simulation import CoreHost, Simulation
from scenarios.steps import Scenario
from trial.load import (
    DISTINCT_QUERIES,
    KEY_BITS,
    AttemptResult,
    classify_answer,
)

#: Request timeout that callers send with a request, in milliseconds.
REQUEST_TIMEOUT_MS = 1000
#: Time after which a caller stops waiting for an answer, in seconds.
CALLER_TIMEOUT_S = 1.3
#: Attempts of a caller for one command, the first included.
MAX_ATTEMPTS = 3
#: Delay before a caller retries, in seconds.
RETRY_DELAY_S = 0.1
#: Time between readiness checks of the balancer, in seconds.
READINESS_CHECK_PERIOD_S = 0.25
#: Outcome when the host was lost or did not answer in time.
NO_ANSWER = 'no_answer'
#: Outcome when the balancer had no ready host.
NO_HOST = 'no_host'


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt to send a request; ``attempt_number`` begins at 1."""

    host: str
    route: str
    body: bytes
    key: str
    booking: str
    sent_at: float
    attempt_number: int
    finished: bool = False


class FakeCallers:
    """Sends the load of a scenario and records the answers."""

    def __init__(self, simulation: Simulation) -> None:
        """Send to the hosts of ``simulation``."""
        self._simulation = simulation
        self._attempts: dict[str, _Attempt] = {}
        self._request_count = 0
        self._running = False
        self._ready_hosts: list[str] = []

    def start(self, scenario: Scenario) -> None:
        """Start the readiness checks and the load."""
        self._running = True
        self._refresh_ready_hosts()
        if scenario.rate:
            self._send_next(scenario)

    def stop(self) -> None:
        """Stop the load; retries go on."""
        self._running = False

    def send_crash_request(self, times: int) -> None:
        """Send a request that crashes targets once a second."""
        body = b'{"query": "crash", "poison": 1}'
        route = next(
            route.name
            for route in self._simulation.layout.configuration.routes
            if route.kind is RouteKind.QUERY
        )
        for number in range(times):
            self._simulation.call_later(
                number,
                functools.partial(
                    self._send, route, body, '', '', MAX_ATTEMPTS
                ),
            )

    def on_answer(self, host: CoreHost, effect: AnswerCaller) -> None:
        """Record the answer of a host, and retry a command that failed."""
        attempt = self._attempts.get(effect.request_id)
        if attempt is None or attempt.finished:
            return
        attempt.finished = True
        view = caller_view(effect.request_id, effect.outcome)
        answer = msgspec.json.decode(msgspec.json.encode(view))
        outcome, detail, covered_share, retry_after_ms = classify_answer(answer)
        self._record_answer(
            effect.request_id,
            attempt,
            outcome,
            detail,
            covered_share,
            retry_after_ms,
        )
        if outcome in {'not_run', 'may_have_run'}:
            self._retry_later(attempt)

    def count_waiting(self, name: str) -> int:
        """Return the number of requests without an answer at a host."""
        return sum(
            attempt.host == name and not attempt.finished
            for attempt in self._attempts.values()
        )

    def on_host_lost(self, name: str) -> None:
        """End all attempts at a host whose connections broke."""
        for request_id, attempt in tuple(self._attempts.items()):
            if attempt.host == name:
                self._give_up(request_id, attempt)

    def _send_next(self, scenario: Scenario) -> None:
        if not self._running:
            return
        self._simulation.call_later(
            self._simulation.random.expovariate(scenario.rate),
            lambda: self._send_next(scenario),
        )
        kinds = {'query': RouteKind.QUERY, 'command': RouteKind.COMMAND}
        expected_kind = kinds.get(scenario.load_kind)
        routes = [
            route
            for route in self._simulation.layout.configuration.routes
            if expected_kind in {None, route.kind}
        ]
        self._send_new(self._simulation.random.choice(routes))

    def _send_new(self, route) -> None:
        rng = self._simulation.random
        if route.kind is RouteKind.QUERY:
            query = {'query': rng.randrange(DISTINCT_QUERIES)}
            self._send(route.name, json.dumps(query).encode(), '', '', 1)
            return
        booking = rng.randbytes(8).hex()
        created_ms = 1_700_000_000_000 + int(self._simulation.now * 1000)
        key = make_key(created_ms, rng.getrandbits(KEY_BITS))
        body = {'booking': booking}
        self._send(route.name, json.dumps(body).encode(), key, booking, 1)

    def _send(
        self,
        route: str,
        body: bytes,
        key: str,
        booking: str,
        attempt_number: int,
    ) -> None:
        if not self._ready_hosts:
            now = self._simulation.scenario_time()
            unsent = _Attempt(
                '', route, body, key, booking, now, attempt_number
            )
            self._record_answer('', unsent, NO_HOST, '', 0, 0)
            return
        name = self._simulation.random.choice(self._ready_hosts)
        host = self._simulation.hosts[name]
        core = host.core
        self._request_count += 1
        request_id = f'request-{self._request_count}'
        attempt = _Attempt(
            name,
            route,
            body,
            key,
            booking,
            self._simulation.scenario_time(),
            attempt_number,
        )
        self._attempts[request_id] = attempt
        self._simulation.call_later(
            CALLER_TIMEOUT_S,
            lambda: self._give_up(request_id, attempt),
        )
        if core is None:
            return
        request = CallerRequest(
            request_id,
            f'caller-{self._request_count % 20}',
            route,
            body,
            REQUEST_TIMEOUT_MS,
            key,
        )
        self._simulation.run_on_host(
            host,
            core,
            lambda: core.on_caller_request(self._simulation.now, request),
        )

    def _give_up(self, request_id: str, attempt: _Attempt) -> None:
        if attempt.finished:
            return
        attempt.finished = True
        host = self._simulation.hosts[attempt.host]
        core = host.core
        if core is not None:
            self._simulation.run_on_host(
                host,
                core,
                lambda: core.on_caller_gone(self._simulation.now, request_id),
            )
        self._record_answer(request_id, attempt, NO_ANSWER, '', 0, 0)
        self._retry_later(attempt)

    def _retry_later(self, attempt: _Attempt) -> None:
        if not attempt.key or attempt.attempt_number >= MAX_ATTEMPTS:
            return
        self._simulation.call_later(
            RETRY_DELAY_S,
            lambda: self._send(
                attempt.route,
                attempt.body,
                attempt.key,
                attempt.booking,
                attempt.attempt_number + 1,
            ),
        )

    def _record_answer(
        self,
        request_id: str,
        attempt: _Attempt,
        outcome: str,
        detail: str,
        covered_share: float,
        retry_after_ms: int,
    ) -> None:
        now = self._simulation.scenario_time()
        result = AttemptResult(
            attempt.route,
            now,
            now - attempt.sent_at,
            0,
            outcome,
            detail,
            covered_share,
            retry_after_ms,
        )
        self._simulation.observations.answers.append(
            Answer(request_id, attempt.booking, attempt.sent_at, result),
        )

    def _refresh_ready_hosts(self) -> None:
        self._ready_hosts = [
            host.name
            for host in self._simulation.hosts.values()
            if host.core is not None and not host.frozen and host.core.ready
        ]
        self._simulation.call_later(
            READINESS_CHECK_PERIOD_S, self._refresh_ready_hosts
        )
