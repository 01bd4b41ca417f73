"""Measures the control traffic and processor time of a host by fleet size.

The cores of all hosts run in one process on a simulated clock. Messages are
encoded, counted and delivered to the other core at once; the store, simulated
as well, also replies at once, except to a watch, which waits for its key.
"""

import dataclasses
import functools
import random
import time

from oriolestage.core import (
    Configuration,
    Effect,
    Identity,
    NodeCore,
    OperatorCommand,
    Parameters,
    ReadHostList,
    ReplaceDocument,
    SendData,
    SendGossip,
    SetTargetAccepting,
    StoreFound,
    StoreMissing,
    StoreOutcome,
    StoreRead,
    StoreWatch,
    StoreWrite,
    StoreWritten,
    encode_message,
)
from oriolestage.core._messages import decode_data, decode_gossip
from trial.layout import association, make_layout

#: Step of the simulated clock, in seconds.
STEP_S = 0.05
#: Simulated time before the measurement and of the measurement, in seconds.
WARM_UP_S = 80.0
MEASUREMENT_S = 10.0
#: Simulated time to wait for a change to be in force everywhere, in seconds.
IN_FORCE_TIMEOUT_S = 15.0
#: Time after which a watch of an absent key ends, in seconds.
WATCH_TIMEOUT_S = 1.0
#: Bytes of TCP and IP headers for a small message and its acknowledgement.
TRANSPORT_BYTES = 100


@dataclasses.dataclass(slots=True)
class ControlCost:
    """Control cost at one fleet size; the average of a host where not said."""

    bytes_per_s: float
    messages_per_s: float
    #: Processor time as a share of one processor core.
    processor_share: float
    #: Store calls of all hosts together.
    store_calls_per_s: float
    #: Simulated time until a change was in force on all hosts, in seconds.
    in_force_s: float
    #: Bytes that a host sent until a change was in force on all hosts.
    change_bytes: float


class SimulatedFleet:
    """Delivers messages between the cores and simulates their store."""

    def __init__(self, hosts: int) -> None:
        """Create ``hosts`` cores in seven data centres."""
        self._now: float = 0
        self._random = random.Random(hosts)
        self.sent_bytes = 0
        self.messages = 0
        self.store_calls = 0
        self._stored: dict[str, bytes] = {}
        self._watches: list[tuple[float, str, NodeCore, int]] = []
        self._cores: dict[str, NodeCore] = {}
        for number in range(hosts):
            name = f'entry-{number:04d}'
            self._cores[name] = NodeCore(
                Identity(name, name, name, f'dc-{number % 7}', 1 + number),
                Parameters(),
                random.Random(number),
                0,
                seeds=['entry-0000'],
            )

    def start(self, document: Configuration) -> None:
        """Start all cores, replace the document and let the fleet settle."""
        for core in self._cores.values():
            core.start()
        self.advance(WARM_UP_S / 2)
        self.make_change(ReplaceDocument(document))
        self.advance(WARM_UP_S / 2)

    def make_change(self, change) -> None:
        """Send a change to the first host as an operator."""
        core = self._cores['entry-0000']
        command = OperatorCommand(change, 'b', str(self._now), 0)
        core.on_operator_command(self._now, command, lambda outcome: None)
        self._deliver_effects([core])

    def advance(self, duration_s: float) -> None:
        """Advance the simulated clock by ``duration_s`` seconds."""
        end = self._now + duration_s
        while self._now < end:
            self._now += STEP_S
            self._complete_watches()
            cores = list(self._cores.values())
            for core in cores:
                if core.next_wakeup <= self._now:
                    core.on_time(self._now)
            self._deliver_effects(cores)

    def time_to_revision(self, revision: int) -> float:
        """Advance until a revision is in force everywhere; return the seconds.

        Stop after ``IN_FORCE_TIMEOUT_S`` in any case.
        """
        started_at = self._now
        while self._now - started_at < IN_FORCE_TIMEOUT_S:
            if all(
                core.configuration.revision >= revision
                for core in self._cores.values()
            ):
                break
            self.advance(STEP_S)
        return self._now - started_at

    def alive_counts(self) -> set[int]:
        """Return the distinct numbers of alive hosts that the cores see."""
        return {core.membership.alive_count for core in self._cores.values()}

    def _deliver_effects(self, cores: list[NodeCore]) -> None:
        active = {id(core): core for core in cores}
        while active:
            next_active: dict[int, NodeCore] = {}
            for core in active.values():
                for effect in core.take_effects():
                    other = self._execute(core, effect)
                    if other is not None:
                        next_active[id(other)] = other
            active = next_active

    def _execute(self, core: NodeCore, effect: Effect) -> NodeCore | None:
        match effect:
            case SendGossip(address=address, message=message):
                payload = self._count_message(encode_message(message))
                other = self._cores[address]
                other.on_gossip(self._now, decode_gossip(payload))
                return other
            case SendData(address=address, message=data):
                payload = self._count_message(encode_message(data))
                other = self._cores[address]
                other.on_data(self._now, decode_data(payload))
                return other
            case StoreWatch(key=key, operation=operation):
                self.store_calls += 1
                entry = (self._now + WATCH_TIMEOUT_S, key, core, operation)
                self._watches.append(entry)
            case StoreRead() | StoreWrite() | ReadHostList():
                self.store_calls += 1
                outcome = self._call_store(effect)
                core.on_store_outcome(self._now, effect.operation, outcome)
                return core
        return None

    def _call_store(self, effect: StoreRead | StoreWrite | ReadHostList):
        match effect:
            case StoreWrite(key=key, content=content):
                self._stored[key] = content
                return StoreWritten(1)
            case StoreRead(key=key) if key in self._stored:
                return StoreFound(self._stored[key], 1)
        return StoreMissing()

    def _complete_watches(self) -> None:
        pending = self._watches
        self._watches = []
        for entry in pending:
            expires_at, key, core, operation = entry
            content = self._stored.get(key)
            if content is None and self._now < expires_at:
                self._watches.append(entry)
                continue
            outcome: StoreOutcome = StoreMissing()
            if content is not None:
                outcome = StoreFound(content, 1)
            core.on_store_outcome(self._now, operation, outcome)

    def _count_message(self, payload: bytes) -> bytes:
        self.sent_bytes += len(payload) + TRANSPORT_BYTES
        self.messages += 1
        return payload


@functools.cache
def measure_control_cost(hosts: int) -> ControlCost:
    """Measure the control cost in an idle fleet of ``hosts`` and of a change."""
    document = make_layout([association(20)], hosts).configuration
    fleet = SimulatedFleet(hosts)
    fleet.start(document)
    sent, messages, calls = fleet.sent_bytes, fleet.messages, fleet.store_calls
    started_at = time.process_time()
    fleet.advance(MEASUREMENT_S)
    processor_s = time.process_time() - started_at
    host_seconds = hosts * MEASUREMENT_S
    idle_bytes = fleet.sent_bytes - sent
    idle_messages = fleet.messages - messages
    idle_store_calls = fleet.store_calls - calls
    sent = fleet.sent_bytes
    fleet.make_change(SetTargetAccepting('sitter-app-1-1', accepting=False))
    in_force_s = fleet.time_to_revision(2)
    change_bytes = fleet.sent_bytes - sent
    return ControlCost(
        bytes_per_s=idle_bytes / host_seconds,
        messages_per_s=idle_messages / host_seconds,
        processor_share=processor_s / host_seconds,
        store_calls_per_s=idle_store_calls / MEASUREMENT_S,
        in_force_s=in_force_s,
        change_bytes=change_bytes / hosts,
    )


def _measure_field(name: str, factor: float = 1):
    return lambda hosts: factor * getattr(measure_control_cost(hosts), name)


MEASURES = (
    ('control bytes/s sent by a host, n hosts', _measure_field('bytes_per_s')),
    (
        'control messages/s sent by a host, n hosts',
        _measure_field('messages_per_s'),
    ),
    (
        'control processor share of a host in %, n hosts',
        _measure_field('processor_share', 100),
    ),
    (
        'store calls/s of the fleet, n hosts',
        _measure_field('store_calls_per_s'),
    ),
    ('time to in force everywhere in s, n hosts', _measure_field('in_force_s')),
    (
        'bytes sent by a host for one change, n hosts',
        _measure_field('change_bytes'),
    ),
)
