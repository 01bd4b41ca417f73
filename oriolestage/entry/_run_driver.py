"""Executes the actions of a request run and reports their outcomes to it.

:class:`RequestRun` is a state machine without I/O. The driver starts a task
for each attempt and each batch, keeps one timer and feeds outcomes and timer
events back through a queue, one at a time.
"""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import time
from collections.abc import AsyncGenerator, Awaitable, Callable, Coroutine

from oriolestage._logging import log_event
from oriolestage.routing._answers import (
    AttemptLost,
    AttemptOutcome,
    RequestResult,
)
from oriolestage.routing._request_run import RequestRun
from oriolestage.routing._run_types import (
    Action,
    BatchLost,
    BatchOutcome,
    CancelAttempt,
    Finish,
    SendAttempt,
    SendBatch,
)

#: Attempts that are started before answers that have arrived are read.
STARTED_AT_ONCE = 8
#: Delay of a timer from which the event loop counts as busy, in seconds.
BUSY_S = 0.001
#: Iterations of the event loop after which the data that had arrived when a
#: timer fired has been read and its attempts have ended.
ITERATIONS_TO_READ = 3
#: Step reported for an attempt that ended with an unexpected exception.
CRASH_STEP = 'driver.crash'
CRASHED_BATCH_OUTCOME = BatchLost(CRASH_STEP, not_sent=False)


@dataclasses.dataclass(frozen=True, slots=True)
class _AttemptEnded:
    attempt: int
    outcome: AttemptOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class _BatchReplied:
    batch: int
    outcome: BatchOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class _TimerFired:
    """The time at which the run asked to be woken has come."""


_Event = _AttemptEnded | _BatchReplied | _TimerFired


@dataclasses.dataclass(slots=True)
class RunTimings:
    """Time that the host itself added to one request, in seconds."""

    #: Total time spent deciding, all events together.
    decision_s: float = 0
    #: Longest time from the end of an attempt or batch until the run was told.
    event_delay_s: float = 0
    #: Longest time by which a timer fired late.
    timer_delay_s: float = 0


class RunDriver:
    """Drives one request run from its start to its result."""

    def __init__(
        self,
        run: RequestRun,
        send: Callable[[SendAttempt], Awaitable[AttemptOutcome]],
        send_batch: Callable[[SendBatch], AsyncGenerator[BatchOutcome, None]],
    ) -> None:
        """Create a driver for ``run``.

        ``send`` sends one attempt to a target; ``send_batch`` sends a batch
        to another host and yields the replies.
        """
        self.run = run
        self.timings = RunTimings()
        self._send = send
        self._send_batch = send_batch
        #: Events with the monotonic times at which they happened.
        self._events: asyncio.Queue[tuple[float, _Event]] = asyncio.Queue()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        #: Attempts that are decided and not started yet, by number.
        self._unsent: dict[int, SendAttempt] = {}
        self._sender: asyncio.Task[None] | None = None
        self._timer: asyncio.Handle | None = None
        #: Sets the timer again once all attempts are sent.
        self._rearm: asyncio.Handle | None = None
        #: True while answers are read before the run is woken up.
        self._reads_first = False

    async def drive(self) -> RequestResult:
        """Start the run, process its events and return its result."""
        now = time.monotonic()
        actions = self.run.start(now)
        while True:
            self.timings.decision_s += time.monotonic() - now
            result = self._execute(actions)
            if result is not None:
                return result
            self._set_timer()
            happened_at, event = await self._events.get()
            now = time.monotonic()
            self._record_delay(event, now - happened_at)
            actions = self._decide(event, now)

    def end_by(self, ends_at: float) -> None:
        """End the request by a time because the host is being stopped."""
        self.run.end_by(ends_at)
        self._set_timer()

    def wake(self) -> None:
        """Have the run look at its parts because one may be placed now."""
        self._add_event(_TimerFired())

    def cancel_all(self) -> None:
        """Cancel the timer and all unfinished attempts and batches."""
        for handle in (self._timer, self._rearm):
            if handle is not None:
                handle.cancel()
        if self._sender is not None:
            self._sender.cancel()
        for task in self._tasks.values():
            task.cancel()

    def _decide(self, event: _Event, now: float) -> list[Action]:
        match event:
            case _AttemptEnded(attempt=attempt, outcome=outcome):
                return self.run.on_outcome(attempt, outcome, now)
            case _BatchReplied(batch=batch, outcome=gathered):
                return self.run.on_batch_outcome(batch, gathered, now)
            case _TimerFired():
                return self.run.on_timer(now)

    def _record_delay(self, event: _Event, delay_s: float) -> None:
        timings = self.timings
        match event:
            case _TimerFired():
                timings.timer_delay_s = max(timings.timer_delay_s, delay_s)
            case _:
                timings.event_delay_s = max(timings.event_delay_s, delay_s)

    def _add_event(self, event: _Event) -> None:
        self._events.put_nowait((time.monotonic(), event))

    def _start_task(
        self,
        number: int,
        coroutine: Coroutine[None, None, None],
        crash_event: _Event,
    ) -> None:
        """Start a task for an attempt or a batch.

        ``crash_event`` is queued if the task ends with an exception, so that
        the run does not wait for an outcome that never comes.
        """
        task = asyncio.create_task(coroutine)
        self._tasks[number] = task
        task.add_done_callback(
            functools.partial(self._handle_task_end, crash_event=crash_event),
        )

    def _handle_task_end(
        self, finished: asyncio.Task[None], crash_event: _Event
    ) -> None:
        if finished.cancelled() or finished.exception() is None:
            return
        error = repr(finished.exception())
        log_event('attempt_crashed', {'step': 'driver', 'error': error})
        self._add_event(crash_event)

    def _execute(self, actions: list[Action]) -> RequestResult | None:
        result: RequestResult | None = None
        decided: list[int] = []
        for action in actions:
            match action:
                case SendAttempt(attempt=attempt):
                    self._unsent[attempt] = action
                    decided.append(attempt)
                case SendBatch(batch=batch):
                    self._start_task(
                        batch,
                        self._run_batch(action),
                        _BatchReplied(batch, CRASHED_BATCH_OUTCOME),
                    )
                case CancelAttempt(attempt=attempt):
                    self._cancel_task(attempt)
                case Finish(result=final):
                    result = final
        if decided and result is None:
            self._start_decided(decided)
        return result

    def _start_decided(self, decided: list[int]) -> None:
        """Start the first attempts now, and the others in a task."""
        if self._sender is None:
            self._start_attempts()
        for number in decided:
            if number in self._unsent:
                self.run.record_unsent(number)
        if self._unsent and self._sender is None:
            self._sender = asyncio.create_task(self._start_others())

    def _start_attempts(self) -> None:
        """Start the first unsent attempts."""
        for number in tuple(itertools.islice(self._unsent, STARTED_AT_ONCE)):
            action = self._unsent.pop(number)
            self._start_task(
                number,
                self._run_attempt(action),
                _AttemptEnded(number, AttemptLost(CRASH_STEP)),
            )

    async def _start_others(self) -> None:
        """Start the other attempts over the next iterations of the loop.

        Answers to the first attempts are read between them; otherwise they
        would look late on a slow host.
        """
        while self._unsent:
            await asyncio.sleep(0)
            self._start_attempts()
        self._sender = None
        # Runs after the last attempts have recorded when they were sent,
        # from which on they can be late.
        loop = asyncio.get_running_loop()
        self._rearm = loop.call_soon(self._set_timer)

    def _cancel_task(self, number: int) -> None:
        self._unsent.pop(number, None)
        task = self._tasks.pop(number, None)
        if task is not None:
            task.cancel()

    async def _run_attempt(self, action: SendAttempt) -> None:
        self.run.record_sent(action.attempt, time.monotonic())
        outcome = await self._send(action)
        self._tasks.pop(action.attempt, None)
        self._add_event(_AttemptEnded(action.attempt, outcome))

    async def _run_batch(self, action: SendBatch) -> None:
        async with contextlib.aclosing(self._send_batch(action)) as replies:
            async for outcome in replies:
                self._add_event(_BatchReplied(action.batch, outcome))
        self._tasks.pop(action.batch, None)

    def _set_timer(self) -> None:
        if self._reads_first:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        wake_at = self.run.wake_at
        wait_s = max(0, wake_at - time.monotonic())
        self._timer = loop.call_later(wait_s, self._on_timer, wake_at)

    def _on_timer(self, wake_at: float) -> None:
        """Wake the run up; if the loop was busy, read answers first.

        An attempt whose answer has arrived must not be taken for late. A run
        that has to end is woken up at once.
        """
        now = time.monotonic()
        if now - wake_at < BUSY_S or now >= self.run.end_at:
            self._fire_timer(wake_at, 0)
        else:
            self._reads_first = True
            self._fire_timer(wake_at, ITERATIONS_TO_READ)

    def _fire_timer(self, wake_at: float, iterations: int) -> None:
        """Add the timer event after some iterations of the event loop."""
        if not iterations:
            self._reads_first = False
            self._events.put_nowait((wake_at, _TimerFired()))
            return
        self._timer = asyncio.get_running_loop().call_soon(
            self._fire_timer, wake_at, iterations - 1
        )
