"""A bounded queue that shares one target fairly among callers."""

import dataclasses
from collections import OrderedDict, deque

from oriolestage.core._messages import ShardBatch, ShardEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ShardTask:
    """A shard request, as the owner of its target handles it."""

    #: Name of the host that sent the request and gets the reply.
    entry_host: str
    entry: ShardEntry
    batch: ShardBatch
    #: Time after which the answer is useless, on the clock of the core.
    deadline: float


class FairQueue:
    """Queues tasks by caller and dequeues them round robin.

    A caller with many requests does not delay the others.
    """

    def __init__(self, limit: int) -> None:
        """Create an empty queue for at most ``limit`` tasks in total."""
        self._limit = limit
        self._length = 0
        self._queues: OrderedDict[str, deque[ShardTask]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of queued tasks."""
        return self._length

    def offer(self, task: ShardTask) -> bool:
        """Append a task; return False if the queue is full."""
        if self._length >= self._limit:
            return False
        caller_queue = self._queues.setdefault(task.batch.caller, deque())
        caller_queue.append(task)
        self._length += 1
        return True

    def take(self) -> ShardTask | None:
        """Dequeue the next caller's oldest task, or None if empty."""
        if not self._queues:
            return None
        caller, caller_queue = self._queues.popitem(last=False)
        task = caller_queue.popleft()
        if caller_queue:
            self._queues[caller] = caller_queue
        self._length -= 1
        return task

    def remove(self, entry_host: str, attempt: int) -> ShardTask | None:
        """Remove a task by entry host and attempt; return None if absent."""
        for caller, caller_queue in self._queues.items():
            for task in caller_queue:
                if task.entry_host != entry_host:
                    continue
                if task.entry.attempt != attempt:
                    continue
                caller_queue.remove(task)
                self._length -= 1
                if not caller_queue:
                    self._queues.pop(caller)
                return task
        return None

    def drain(self) -> list[ShardTask]:
        """Dequeue all tasks in the order in which they would be served."""
        tasks: list[ShardTask] = []
        while self._length:
            task = self.take()
            if task is not None:
                tasks.append(task)
        return tasks
