"""Does what the run of a request decides."""

import asyncio
import contextlib
import dataclasses
import functools
import time
from collections.abc import AsyncGenerator, Awaitable, Callable, Coroutine

from oriolestage._logging import log_event
from oriolestage.relay._answers import AttemptLost, AttemptOutcome, Verdict
from oriolestage.relay._request_run import RequestRun
from oriolestage.relay._run_types import (
    Action,
    BatchLost,
    BatchOutcome,
    CancelAttempt,
    Finish,
    SendAttempt,
    SendBatch,
)

#: Step of an attempt that failed in a way that no code foresees.
CRASHED = 'driver.crash'
CRASHED_BATCH = BatchLost(CRASHED, not_sent=False)


@dataclasses.dataclass(frozen=True, slots=True)
class _Outcome:
    attempt: int
    outcome: AttemptOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class _BatchOutcome:
    batch: int
    outcome: BatchOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class _TimePassed:
    """A timer of the run is due."""


_Event = _Outcome | _BatchOutcome | _TimePassed


class RunDriver:
    """Does what a run decides and tells it what comes of it."""

    def __init__(
        self,
        run: RequestRun,
        send: Callable[[SendAttempt], Awaitable[AttemptOutcome]],
        send_batch: Callable[[SendBatch], AsyncGenerator[BatchOutcome, None]],
    ) -> None:
        """Prepare to drive ``run``."""
        self.run = run
        self._send = send
        self._send_batch = send_batch
        self._inbox: asyncio.Queue[_Event] = asyncio.Queue()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def drive(self) -> Verdict:
        """Drive the run until its verdict."""
        actions = self.run.start(time.monotonic())
        while True:
            verdict = self._carry_out(actions)
            if verdict is not None:
                return verdict
            self._set_timer()
            event = await self._inbox.get()
            now = time.monotonic()
            match event:
                case _Outcome(attempt=attempt, outcome=outcome):
                    actions = self.run.on_outcome(attempt, outcome, now)
                case _BatchOutcome(batch=batch, outcome=gathered):
                    actions = self.run.on_batch(batch, gathered, now)
                case _TimePassed():
                    actions = self.run.on_time(now)

    def cancel_all(self) -> None:
        """Stop all attempts that are still on their way."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks.values():
            task.cancel()

    def _start(
        self,
        number: int,
        work: Coroutine[None, None, None],
        crashed: _Event,
    ) -> None:
        """Start a task; ``crashed`` is its event if it fails unforeseen."""
        task = asyncio.create_task(work)
        self._tasks[number] = task
        task.add_done_callback(
            functools.partial(self._note_end, crashed=crashed),
        )

    def _note_end(self, ended: asyncio.Task[None], crashed: _Event) -> None:
        if ended.cancelled() or ended.exception() is None:
            return
        error = repr(ended.exception())
        log_event('attempt_crashed', {'step': 'driver', 'error': error})
        self._inbox.put_nowait(crashed)

    def _carry_out(self, actions: list[Action]) -> Verdict | None:
        verdict: Verdict | None = None
        for action in actions:
            match action:
                case SendAttempt(attempt=attempt):
                    lost = _Outcome(attempt, AttemptLost(CRASHED))
                    self._start(attempt, self._attempt(action), lost)
                case SendBatch(batch=batch):
                    self._start(
                        batch,
                        self._batch(action),
                        _BatchOutcome(batch, CRASHED_BATCH),
                    )
                case CancelAttempt(attempt=attempt):
                    self._cancel(attempt)
                case Finish(verdict=final):
                    verdict = final
        return verdict

    def _cancel(self, number: int) -> None:
        task = self._tasks.pop(number, None)
        if task is not None:
            task.cancel()

    async def _attempt(self, action: SendAttempt) -> None:
        outcome = await self._send(action)
        self._tasks.pop(action.attempt, None)
        self._inbox.put_nowait(_Outcome(action.attempt, outcome))

    async def _batch(self, action: SendBatch) -> None:
        async with contextlib.aclosing(self._send_batch(action)) as replies:
            async for outcome in replies:
                self._inbox.put_nowait(_BatchOutcome(action.batch, outcome))
        self._tasks.pop(action.batch, None)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        wait_s = max(0, self.run.wake_at - time.monotonic())
        self._timer = loop.call_later(
            wait_s,
            self._inbox.put_nowait,
            _TimePassed(),
        )
