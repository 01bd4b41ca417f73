"""Callers behind a balancer, on injected time.

A caller whose request got no answer, or one that says that it was not run or
may have run, sends it again through another host with the same key.
"""

import dataclasses
import functools
import json

import msgspec

from oriolestage.core import AnswerCaller, CallerRequest, RouteKind, make_key
from oriolestage.views import caller_view
from scenarios.core_world import CoreHost, CoreWorld
from scenarios.observations import Answer
from scenarios.steps import Scenario
from trial.load import (
    DISTINCT_QUERIES,
    KEY_BITS,
    AttemptResult,
    classify_answer,
)

#: Time that a caller gives the tier, in milliseconds.
TIMEOUT_MS = 1000
#: Time after which a caller sends again through another host, in seconds.
PATIENCE_S = 1.3
#: Times that a caller sends one request.
SENDINGS = 3
#: Wait before a caller sends again, in seconds.
RESEND_S = 0.1
#: Age of the balancer's knowledge of hosts, in seconds.
CHECK_PERIOD_S = 0.25
#: The host was lost, or did not answer in time.
NO_ANSWER = 'no_answer'
#: The balancer had no ready host.
NO_HOST = 'no_host'


@dataclasses.dataclass(slots=True)
class _Sending:
    host: str
    route: str
    body: bytes
    key: str
    booking: str
    sent_at: float
    count: int
    ended: bool = False


class FakeCallers:
    """Sends the load of a scenario and notes the answers."""

    def __init__(self, world: CoreWorld) -> None:
        """Act within ``world``."""
        self._world = world
        self._sendings: dict[str, _Sending] = {}
        self._number = 0
        self._running = False
        self._ready: list[str] = []

    def start(self, scenario: Scenario) -> None:
        """Begin the load."""
        self._running = True
        self._check_hosts()
        if scenario.rate:
            self._next(scenario)

    def stop(self) -> None:
        """Send no new requests."""
        self._running = False

    def send_crashing(self, times: int) -> None:
        """Send one request that crashes targets, again and again."""
        body = b'{"query": "crash", "poison": 1}'
        route = next(
            route.name
            for route in self._world.layout.configuration.routes
            if route.kind is RouteKind.QUERY
        )
        for number in range(times):
            self._world.call_later(
                number,
                functools.partial(self._send, route, body, '', '', SENDINGS),
            )

    def on_answer(self, host: CoreHost, effect: AnswerCaller) -> None:
        """Take the answer of a host."""
        sending = self._sendings.get(effect.request_id)
        if sending is None or sending.ended:
            return
        sending.ended = True
        view = caller_view(effect.request_id, effect.outcome)
        answer = msgspec.json.decode(msgspec.json.encode(view))
        outcome, detail, share, wait_ms = classify_answer(answer)
        self._note(
            effect.request_id,
            sending,
            outcome,
            detail,
            share,
            wait_ms,
        )
        if outcome in {'not_run', 'may_have_run'}:
            self._send_again(sending)

    def waiting_at(self, name: str) -> int:
        """Count the requests that wait for an answer of a host."""
        return sum(
            sending.host == name and not sending.ended
            for sending in self._sendings.values()
        )

    def on_host_lost(self, name: str) -> None:
        """Notice that the connections to a host broke."""
        for request_id, sending in tuple(self._sendings.items()):
            if sending.host == name:
                self._give_up(request_id, sending)

    def _next(self, scenario: Scenario) -> None:
        if not self._running:
            return
        self._world.call_later(
            self._world.random.expovariate(scenario.rate),
            lambda: self._next(scenario),
        )
        kinds = {'query': RouteKind.QUERY, 'command': RouteKind.COMMAND}
        wanted = kinds.get(scenario.load_kind)
        routes = [
            route
            for route in self._world.layout.configuration.routes
            if wanted in {None, route.kind}
        ]
        self._send_new(self._world.random.choice(routes))

    def _send_new(self, route) -> None:
        randomness = self._world.random
        if route.kind is RouteKind.QUERY:
            query = {'query': randomness.randrange(DISTINCT_QUERIES)}
            self._send(route.name, json.dumps(query).encode(), '', '', 1)
            return
        booking = randomness.randbytes(8).hex()
        created_ms = 1_700_000_000_000 + int(self._world.now * 1000)
        key = make_key(created_ms, randomness.getrandbits(KEY_BITS))
        body = {'booking': booking}
        self._send(route.name, json.dumps(body).encode(), key, booking, 1)

    def _send(
        self,
        route: str,
        body: bytes,
        key: str,
        booking: str,
        count: int,
    ) -> None:
        if not self._ready:
            now = self._world.since_origin()
            refused = _Sending('', route, body, key, booking, now, count)
            self._note('', refused, NO_HOST, '', 0, 0)
            return
        name = self._world.random.choice(self._ready)
        host = self._world.hosts[name]
        core = host.core
        self._number += 1
        request_id = f'request-{self._number}'
        sending = _Sending(
            name,
            route,
            body,
            key,
            booking,
            self._world.since_origin(),
            count,
        )
        self._sendings[request_id] = sending
        self._world.call_later(
            PATIENCE_S,
            lambda: self._give_up(request_id, sending),
        )
        if core is None:
            return
        request = CallerRequest(
            request_id,
            f'caller-{self._number % 20}',
            route,
            body,
            TIMEOUT_MS,
            key,
        )
        self._world.on_host(
            host,
            core,
            lambda: core.on_caller_request(self._world.now, request),
        )

    def _give_up(self, request_id: str, sending: _Sending) -> None:
        if sending.ended:
            return
        sending.ended = True
        host = self._world.hosts[sending.host]
        core = host.core
        if core is not None:
            self._world.on_host(
                host,
                core,
                lambda: core.on_caller_gone(self._world.now, request_id),
            )
        self._note(request_id, sending, NO_ANSWER, '', 0, 0)
        self._send_again(sending)

    def _send_again(self, sending: _Sending) -> None:
        if not sending.key or sending.count >= SENDINGS:
            return
        self._world.call_later(
            RESEND_S,
            lambda: self._send(
                sending.route,
                sending.body,
                sending.key,
                sending.booking,
                sending.count + 1,
            ),
        )

    def _note(
        self,
        request_id: str,
        sending: _Sending,
        outcome: str,
        detail: str,
        share: float,
        wait_ms: int,
    ) -> None:
        now = self._world.since_origin()
        served = AttemptResult(
            sending.route,
            now,
            now - sending.sent_at,
            0,
            outcome,
            detail,
            share,
            wait_ms,
        )
        self._world.seen.answers.append(
            Answer(request_id, sending.booking, sending.sent_at, served),
        )

    def _check_hosts(self) -> None:
        self._ready = [
            host.name
            for host in self._world.hosts.values()
            if host.core is not None and not host.frozen and host.core.ready
        ]
        self._world.call_later(CHECK_PERIOD_S, self._check_hosts)
