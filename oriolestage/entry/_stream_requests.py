"""The requests of another host that run for one of its streams."""

import asyncio
from collections.abc import Callable


class StreamRequests:
    """Starts each request of a stream once."""

    def __init__(self) -> None:
        """Start without requests."""
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._last_number = float('-inf')

    def start(
        self, number: int, serve: Callable[[], asyncio.Task[None]]
    ) -> None:
        """Start the task of a request, which ``serve`` creates.

        Raises ``ValueError`` if the number does not exceed all earlier ones:
        the request may be a copy of one that has run.
        """
        if number <= self._last_number:
            raise ValueError(f'request {number} after {self._last_number}')
        self._last_number = number
        task = serve()
        self._tasks[number] = task
        task.add_done_callback(lambda _: self._tasks.pop(number, None))

    def cancel(self, number: int) -> None:
        """Cancel a request, unless it has ended."""
        task = self._tasks.get(number)
        if task is not None:
            task.cancel()

    def cancel_all(self) -> None:
        """Cancel all requests, as nobody gets their replies."""
        for task in self._tasks.values():
            task.cancel()
