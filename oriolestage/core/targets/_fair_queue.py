"""A bounded queue that serves callers in turn."""

import dataclasses
from collections import OrderedDict, deque

from oriolestage.core._messages import ShardBatch, ShardEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ShardTask:
    """One shard request at the owner of its target."""

    #: The host that sent it.
    entry_host: str
    entry: ShardEntry
    batch: ShardBatch
    #: When the answer is no longer of use, in core time.
    deadline: float


class FairQueue:
    """Holds tasks by caller and gives them out round robin."""

    def __init__(self, limit: int) -> None:
        """Hold at most ``limit`` tasks."""
        self._limit = limit
        self._length = 0
        self._by_caller: OrderedDict[str, deque[ShardTask]] = OrderedDict()

    def __len__(self) -> int:
        """Give the number of tasks held."""
        return self._length

    def offer(self, task: ShardTask) -> bool:
        """Add a task; tell whether there was room for it."""
        if self._length >= self._limit:
            return False
        lane = self._by_caller.setdefault(task.batch.caller, deque())
        lane.append(task)
        self._length += 1
        return True

    def take(self) -> ShardTask | None:
        """Remove the next task of the caller whose turn it is."""
        if not self._by_caller:
            return None
        caller, lane = self._by_caller.popitem(last=False)
        task = lane.popleft()
        if lane:
            self._by_caller[caller] = lane
        self._length -= 1
        return task

    def remove(self, entry_host: str, attempt: int) -> ShardTask | None:
        """Remove one task by the host and attempt that it came with."""
        for caller, lane in self._by_caller.items():
            for task in lane:
                if task.entry_host != entry_host:
                    continue
                if task.entry.attempt != attempt:
                    continue
                lane.remove(task)
                self._length -= 1
                if not lane:
                    self._by_caller.pop(caller)
                return task
        return None

    def drain(self) -> list[ShardTask]:
        """Remove and give all tasks."""
        tasks: list[ShardTask] = []
        while self._length:
            task = self.take()
            if task is not None:
                tasks.append(task)
        return tasks
