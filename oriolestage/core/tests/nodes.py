"""A decision core with a simulated store and clock, for tests."""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Self

import msgspec

from oriolestage.core import (
    Effect,
    GossipMessage,
    Identity,
    LogEvent,
    NodeCore,
    Parameters,
    ReadHostList,
    ReplaceDocument,
    RevisionRecord,
    SendGossip,
    StoreOutcome,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from oriolestage.core.tests.builders import small_configuration
from scenarios.fake_store import FakeStore

#: Wall-clock time at simulated time 0, in milliseconds since the epoch.
WALL_CLOCK_START_MS = 1_700_000_000_000
#: Time that a gossip message needs, in seconds.
GOSSIP_LATENCY_S = 0.001


def document_record(revision: int) -> RevisionRecord:
    """Build the record of a revision that replaces the whole document."""
    return RevisionRecord(
        revision=revision,
        change=ReplaceDocument(small_configuration()),
        operator='tests',
        command_id=f'command-{revision}',
        at_ms=WALL_CLOCK_START_MS,
        before='',
        after='',
    )


@dataclasses.dataclass(slots=True)
class SimulatedNode:
    """One core, the store that it calls and the effects that it returned."""

    core: NodeCore
    store: FakeStore
    timeline: 'Timeline'
    effects: list[tuple[float, Effect]] = dataclasses.field(
        default_factory=list,
    )

    @classmethod
    def build(
        cls,
        timeline: 'Timeline',
        store: FakeStore,
        *,
        name: str = 'entry-1',
        parameters: Parameters | None = None,
        ip: str = '127.0.0.1',
        seeds: Sequence[str] = (),
    ) -> Self:
        """Build and start a core."""
        core = NodeCore(
            Identity(
                name=name,
                gossip_address=f'{ip}:7003',
                data_address=f'{ip}:7004',
                data_centre='ege-a',
                incarnation=WALL_CLOCK_START_MS + int(timeline.now * 1000),
            ),
            parameters or Parameters(),
            random.Random(1),
            timeline.now,
            seeds,
        )
        node = cls(core, store, timeline)
        timeline.nodes.append(node)
        core.start()
        node.execute_effects()
        return node

    def execute_effects(self) -> None:
        """Record the effects of the core and call the store."""
        for effect in self.core.take_effects():
            self.effects.append((self.timeline.now, effect))
            match effect:
                case SendGossip(address=address, message=message):
                    self.timeline.send_gossip(address, message)
                case StoreRead() | StoreWrite() | StoreWatch() | ReadHostList():
                    self._call_store(effect)

    def receive_gossip(self, message: GossipMessage) -> None:
        """Pass a gossip message to the core."""
        with self.timeline.caught_errors():
            self.core.on_gossip(self.timeline.now, message)
        self.execute_effects()

    def count_calls(self, key: str) -> int:
        """Return how often the core read or watched a key."""
        return sum(
            isinstance(effect, StoreRead | StoreWatch) and effect.key == key
            for _, effect in self.effects
        )

    def gossip_sent(self) -> list[GossipMessage]:
        """Return the gossip messages that the core sent."""
        return [
            effect.message
            for _, effect in self.effects
            if isinstance(effect, SendGossip)
        ]

    def logged(self, event: str) -> list[dict]:
        """Return the fields of the lines of an event."""
        return [
            dict(effect.fields)
            for _, effect in self.effects
            if isinstance(effect, LogEvent) and effect.event == event
        ]

    def _call_store(
        self, effect: StoreRead | StoreWrite | StoreWatch | ReadHostList
    ) -> None:
        def reply(outcome: StoreOutcome) -> None:
            with self.timeline.caught_errors():
                self.core.on_store_outcome(
                    self.timeline.now, effect.operation, outcome
                )
            self.execute_effects()

        self.store.call(effect, cut=False, reply=reply)


class Timeline:
    """A simulated clock that runs callbacks and the timers of cores."""

    def __init__(self) -> None:
        """Start at time 0 without nodes."""
        self.now: float = 0
        self.nodes: list[SimulatedNode] = []
        #: Errors of cores; None lets the first one end the test.
        self.errors: list[Exception] | None = None
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` after ``delay_s`` seconds."""
        entry = (self.now + delay_s, next(self._sequence), callback)
        heapq.heappush(self._heap, entry)

    def run_for(self, duration_s: float) -> None:
        """Let ``duration_s`` seconds pass."""
        end = self.now + duration_s
        while self._next_time() <= end:
            self.now = max(self.now, self._next_time())
            while self._heap and self._heap[0][0] <= self.now:
                heapq.heappop(self._heap)[2]()
            for node in self.nodes:
                with self.caught_errors():
                    node.core.on_time(self.now)
                node.execute_effects()
        self.now = end

    def send_gossip(self, address: str, message: GossipMessage) -> None:
        """Deliver a message to the core with an address, if there is one."""
        for node in self.nodes:
            if node.core.membership.identity.gossip_address == address:
                deliver = functools.partial(node.receive_gossip, message)
                self.call_later(GOSSIP_LATENCY_S, deliver)

    @contextmanager
    def caught_errors(self) -> Iterator[None]:
        """Keep an error of a core, as the daemon does, if a test wants it."""
        try:
            yield
        except Exception as error:
            if self.errors is None:
                raise
            self.errors.append(error)

    def _next_time(self) -> float:
        times = [node.core.next_wakeup for node in self.nodes]
        times.extend(entry[0] for entry in self._heap[:1])
        return min(times, default=float('inf'))


def put_value(
    store: FakeStore, key: str, content: bytes, expected: int
) -> None:
    """Write a key as another writer, if its version is ``expected``."""
    write = StoreWrite(0, key, expected, content)
    store.call(write, cut=False, reply=lambda outcome: None)


def encode_record(record: RevisionRecord) -> bytes:
    """Encode a record as it is stored."""
    return msgspec.json.encode(record)
