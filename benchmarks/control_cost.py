"""Control cost of one host as the fleet grows.

Many cores run in one process. A plain loop hands their messages, really
encoded, from one core to the next and counts; the store answers at once.
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

#: Step of the injected time, in seconds.
STEP_S = 0.05
#: Injected time before counting starts, and while counting, in seconds.
SETTLE_S = 80.0
COUNT_S = 10.0
#: Longest wait for a change to be in force everywhere, in seconds.
IN_FORCE_LIMIT_S = 15.0
#: Time that a watch waits, in seconds.
WATCH_S = 1.0
#: Bytes that TCP and IP add to a small message and its acknowledgement.
TRANSPORT_BYTES = 100


@dataclasses.dataclass(slots=True)
class Counted:
    """What one host costs for control, on average."""

    bytes_per_s: float
    messages_per_s: float
    #: Share of one core.
    processor_share: float
    store_calls_per_s: float
    #: Time until a change was in force on all hosts, in seconds.
    in_force_s: float
    #: Bytes sent for one change by all hosts together.
    change_bytes: float


class Loop:
    """Hands messages between cores."""

    def __init__(self, hosts: int) -> None:
        """Start ``hosts`` cores in seven data centres."""
        self._now: float = 0
        self._random = random.Random(hosts)
        self.sent_bytes = 0
        self.messages = 0
        self.store_calls = 0
        self._keys: dict[str, bytes] = {}
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
        """Start all cores and put a document in force."""
        for core in self._cores.values():
            core.start()
        self.run(SETTLE_S / 2)
        self.command(ReplaceDocument(document))
        self.run(SETTLE_S / 2)

    def command(self, change) -> None:
        """Make a change at the first host."""
        core = self._cores['entry-0000']
        command = OperatorCommand(change, 'b', str(self._now), 0)
        core.on_operator_command(self._now, command, lambda outcome: None)
        self._settle([core])

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end = self._now + duration_s
        while self._now < end:
            self._now += STEP_S
            self._end_watches()
            cores = list(self._cores.values())
            for core in cores:
                if core.next_wakeup <= self._now:
                    core.on_time(self._now)
            self._settle(cores)

    def time_to_revision(self, revision: int) -> float:
        """Let time pass until a revision is in force everywhere."""
        started = self._now
        while self._now - started < IN_FORCE_LIMIT_S:
            if all(
                core.configuration.revision >= revision
                for core in self._cores.values()
            ):
                break
            self.run(STEP_S)
        return self._now - started

    def alive_views(self) -> set[int]:
        """Give the distinct numbers of hosts that cores see alive."""
        return {core.membership.alive_count for core in self._cores.values()}

    def _settle(self, cores: list[NodeCore]) -> None:
        active = {id(core): core for core in cores}
        while active:
            touched: dict[int, NodeCore] = {}
            for core in active.values():
                for effect in core.take_effects():
                    other = self._carry_out(core, effect)
                    if other is not None:
                        touched[id(other)] = other
            active = touched

    def _carry_out(self, core: NodeCore, effect: Effect) -> NodeCore | None:
        match effect:
            case SendGossip(address=address, message=message):
                payload = self._count(encode_message(message))
                other = self._cores[address]
                other.on_gossip(self._now, decode_gossip(payload))
                return other
            case SendData(address=address, message=data):
                payload = self._count(encode_message(data))
                other = self._cores[address]
                other.on_data(self._now, decode_data(payload))
                return other
            case StoreWatch(key=key, operation=operation):
                self.store_calls += 1
                entry = (self._now + WATCH_S, key, core, operation)
                self._watches.append(entry)
            case StoreRead() | StoreWrite() | ReadHostList():
                self.store_calls += 1
                outcome = self._store(effect)
                core.on_store_outcome(self._now, effect.operation, outcome)
                return core
        return None

    def _store(self, effect: StoreRead | StoreWrite | ReadHostList):
        match effect:
            case StoreWrite(key=key, content=content):
                self._keys[key] = content
                return StoreWritten(1)
            case StoreRead(key=key) if key in self._keys:
                return StoreFound(self._keys[key], 1)
        return StoreMissing()

    def _end_watches(self) -> None:
        waiting = self._watches
        self._watches = []
        for entry in waiting:
            until, key, core, operation = entry
            content = self._keys.get(key)
            if content is None and self._now < until:
                self._watches.append(entry)
                continue
            outcome: StoreOutcome = StoreMissing()
            if content is not None:
                outcome = StoreFound(content, 1)
            core.on_store_outcome(self._now, operation, outcome)

    def _count(self, payload: bytes) -> bytes:
        self.sent_bytes += len(payload) + TRANSPORT_BYTES
        self.messages += 1
        return payload


@functools.cache
def count(hosts: int) -> Counted:
    """Count the control cost of a fleet of ``hosts``."""
    document = make_layout([association(20)], hosts).configuration
    loop = Loop(hosts)
    loop.start(document)
    sent, messages, calls = loop.sent_bytes, loop.messages, loop.store_calls
    started = time.process_time()
    loop.run(COUNT_S)
    used_s = time.process_time() - started
    host_seconds = hosts * COUNT_S
    quiet_bytes = loop.sent_bytes - sent
    quiet_messages = loop.messages - messages
    quiet_calls = loop.store_calls - calls
    sent = loop.sent_bytes
    loop.command(SetTargetAccepting('sitter-app-1-1', accepting=False))
    in_force_s = loop.time_to_revision(2)
    change_bytes = loop.sent_bytes - sent
    return Counted(
        bytes_per_s=quiet_bytes / host_seconds,
        messages_per_s=quiet_messages / host_seconds,
        processor_share=used_s / host_seconds,
        store_calls_per_s=quiet_calls / COUNT_S,
        in_force_s=in_force_s,
        change_bytes=change_bytes / hosts,
    )


def _field(name: str, factor: float = 1):
    return lambda hosts: factor * getattr(count(hosts), name)


MEASURES = (
    ('control bytes/s sent by a host, n hosts', _field('bytes_per_s')),
    ('control messages/s sent by a host, n hosts', _field('messages_per_s')),
    (
        'control processor share of a host in %, n hosts',
        _field('processor_share', 100),
    ),
    ('store calls/s of the fleet, n hosts', _field('store_calls_per_s')),
    ('time to in force everywhere in s, n hosts', _field('in_force_s')),
    ('bytes sent by a host for one change, n hosts', _field('change_bytes')),
)
