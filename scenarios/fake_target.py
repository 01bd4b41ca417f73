"""Simulated target with index versions, a key range and a cold state."""

import json
import random
from collections.abc import Callable

from oriolestage.core import (
    CallTarget,
    KeyRange,
    TargetAnswered,
    TargetConnectionLost,
    TargetNotReached,
    TargetRefused,
    TargetResult,
    TargetStatus,
    TargetTimedOut,
)
from scenarios.observations import Observations, Overload, Run
from scenarios.steps import TargetSign
from trial.layout import PlacedTarget

#: Mean service time of a request, in seconds.
MEAN_SERVICE_TIME_S = 0.005
#: Share of requests that are stragglers, and their added time in seconds.
STRAGGLER_SHARE = 0.01
STRAGGLER_DELAY_S = 0.2
#: Answered requests after which a target is warm, and the number in flight
#: that it can carry until then.
WARM_UP_REQUESTS = 8
COLD_CAPACITY = 1
#: Time after a response within which the owner surely receives and applies the
#: status that it carries, in seconds.
STATUS_DELAY_S = 0.1
NEVER = float('inf')
#: Factor by which a cold target slows down above its capacity.
COLD_OVERLOAD_SLOWDOWN = 10
#: Multiple of its slots in flight from which a target sheds load.
SHED_FACTOR = 2

Reply = Callable[[TargetResult], None]
CallLater = Callable[[float, Callable[[], None]], None]


class FakeTarget:
    """One replica of a service; it records every request and overload."""

    def __init__(
        self,
        placed: PlacedTarget,
        rng: random.Random,
        call_later: CallLater,
        clock: Callable[[], float],
        observations: Observations,
    ) -> None:
        """Start as a running, cold process; record in ``observations``."""
        self.placed = placed
        self.running = True
        self.versions: tuple[int, ...] = (1,)
        self.keys = KeyRange(placed.key_start, placed.key_end)
        self.partition_revision = 1
        self._random = rng
        self._call_later = call_later
        self._clock = clock
        self._observations = observations
        self._start_count = 1
        self._cold = True
        self._reports_leaving = False
        self._answered_while_cold = 0
        # Time from which the owner knows that the target is cold.
        self._cold_known_at: float = 0
        self._in_flight: dict[tuple[str, int], Reply] = {}

    def apply_event(self, sign: TargetSign) -> None:
        """Apply a state change of a scenario."""
        match sign:
            case TargetSign.COLD:
                self._cold = True
                self._answered_while_cold = 0
                # The owner learns this from the first response only.
                self._cold_known_at = NEVER
            case TargetSign.LEAVES:
                self._reports_leaving = True
            case TargetSign.RETURNS:
                self.restart()

    def crash(self) -> None:
        """End the process; all requests in flight lose their connections."""
        self.running = False
        lost = tuple(self._in_flight.values())
        self._in_flight.clear()
        for reply in lost:
            reply(TargetConnectionLost())

    def restart(self) -> None:
        """Start a new, cold process."""
        self.running = True
        self._start_count += 1
        self._cold = True
        self._cold_known_at = 0
        self._answered_while_cold = 0
        self._reports_leaving = False

    def target_status(self) -> TargetStatus:
        """Return the status that a response carries."""
        if self._cold and self._cold_known_at == NEVER:
            self._cold_known_at = self._clock() + STATUS_DELAY_S
        return TargetStatus(
            process=f'{self.placed.target.name}/{self._start_count}',
            leaving=self._reports_leaving,
            cold=self._cold,
            versions=self.versions,
        )

    def call(self, host: str, effect: CallTarget, now: float, reply: Reply):
        """Run, refuse or lose a request; ``reply`` gets the result."""
        if not self.running:
            reply(TargetNotReached())
            return
        run = self._build_run(effect, now)
        self._observations.received.append(run)
        if b'"crash"' in effect.body:
            self._observations.crashed.add(self.placed.target.name)
            reply(TargetConnectionLost())
            self.crash()
            return
        reason = self._refusal_reason(effect)
        if reason:
            reply(TargetRefused(self.target_status(), reason, 50))
            return
        self._start_request((host, effect.call), effect, run, reply)

    def cancel(self, host: str, call: int) -> None:
        """Cancel a request in flight, if there is one."""
        reply = self._in_flight.pop((host, call), None)
        if reply is not None:
            reply(TargetRefused(self.target_status(), 'cancelled', 0))

    def _start_request(
        self,
        key: tuple[str, int],
        effect: CallTarget,
        run: Run,
        reply: Reply,
    ) -> None:
        self._in_flight[key] = reply
        self._observations.runs.append(run)
        self._record_overload(run.at)
        version = effect.version or max(self.versions)
        start_count = self._start_count
        duration_s = self._draw_duration_s()
        timeout_s = effect.timeout_ms / 1000
        if duration_s > timeout_s:
            self._call_later(timeout_s, lambda: self._time_out_request(key))
            return
        self._call_later(
            duration_s,
            lambda: self._finish_request(key, effect, version, start_count),
        )

    def _time_out_request(self, key: tuple[str, int]) -> None:
        reply = self._in_flight.pop(key, None)
        if reply is not None:
            reply(TargetTimedOut())

    def _finish_request(
        self,
        key: tuple[str, int],
        effect: CallTarget,
        version: int,
        start_count: int,
    ) -> None:
        if self._start_count != start_count:
            return
        reply = self._in_flight.pop(key, None)
        if reply is None:
            return
        if self._cold:
            self._answered_while_cold += 1
            self._cold = self._answered_while_cold < WARM_UP_REQUESTS
        rows = [
            {
                'request': effect.request_id,
                'version': version,
                'range': [self.keys.start, self.keys.end],
            },
        ]
        reply(
            TargetAnswered(
                target_status=self.target_status(),
                version=version,
                covered=self.keys,
                partition_revision=self.partition_revision,
                rows=json.dumps(rows).encode(),
            ),
        )

    def _refusal_reason(self, effect: CallTarget) -> str:
        if self._reports_leaving:
            return 'leaving'
        if effect.version and effect.version not in self.versions:
            return 'version'
        slots = self.placed.target.slots
        if len(self._in_flight) >= SHED_FACTOR * slots:
            return 'shed'
        return ''

    def _record_overload(self, now: float) -> None:
        name = self.placed.target.name
        in_flight = len(self._in_flight)
        known = self._clock() >= self._cold_known_at
        if self._cold and known and in_flight > COLD_CAPACITY:
            self._observations.cold_overloads.append(
                Overload(name, now, in_flight, COLD_CAPACITY),
            )
        slots = self.placed.target.slots
        if in_flight > slots:
            self._observations.slot_overloads.append(
                Overload(name, now, in_flight, slots),
            )

    def _draw_duration_s(self) -> float:
        duration_s = self._random.expovariate(1 / MEAN_SERVICE_TIME_S)
        if self._random.random() < STRAGGLER_SHARE:
            duration_s += STRAGGLER_DELAY_S
        if self._cold and len(self._in_flight) > COLD_CAPACITY:
            duration_s *= COLD_OVERLOAD_SLOWDOWN
        return duration_s

    def _build_run(self, effect: CallTarget, now: float) -> Run:
        target = self.placed.target
        return Run(
            target=target.name,
            data_centre=target.data_centre,
            request_id=effect.request_id,
            booking=json.loads(effect.body).get('booking', ''),
            at=now,
        )
