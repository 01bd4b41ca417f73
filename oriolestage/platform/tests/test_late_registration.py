"""Tests of a host's registration when calls are lost and done late."""

import asyncio
import dataclasses
import itertools
import random
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolestage.entry._host_registration import (
    LEASE_TTL_S,
    RETRY_INTERVAL_S,
    RETRY_JITTER,
)
from oriolestage.entry.tests.virtual_time import (
    VirtualTimeLoop,
    run_in_virtual_time,
)
from oriolestage.platform.tests.model_calls import (
    END,
    OPEN,
    READ,
    RENEW,
    WRITE,
    Fault,
    Lost,
    Refused,
)
from oriolestage.platform.tests.registering_host import (
    RECORD,
    SAMPLE_S,
    Process,
)

#: Time after the last disturbance within which the host is registered.
REGISTERED_S = 2.0
#: Time for which it has to stay so, in seconds: several leases.
STAYS_S = 30.0
#: Calls in a minute without disturbance, each renewal one, and the calls of a
#: registration.
QUIET_CALLS = 30
#: More calls than a host makes in a minute.
REFUSALS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LostCall:
    """Faults of one kind of calls."""

    kind: str
    faults: tuple[Fault, ...]


#: Faults of a call, and how often in a row.
FAULT_LIST: tuple[Fault, ...] = (
    Refused(),
    Lost(),
    Lost(0),
    Lost(1.0),
    Lost(2.5),
    Lost(5.5),
)
TABLE = tuple(
    LostCall(kind, (fault,) * times)
    for kind, times, fault in itertools.product(
        (OPEN, READ, WRITE, RENEW),
        (1, 3),
        FAULT_LIST,
    )
)
#: Faults of the calls by which a stopping host ends its lease.
ENDINGS = tuple(
    LostCall(END, (fault,) * times)
    for times, fault in itertools.product((1, 2), FAULT_LIST)
)
#: Times after the start at which the host is stopped, in seconds: in the
#: calls of its registration, and later.
STOPPED_AFTER_S = (0.001, 0.006, 0.01, 1.0, 3.5, 4.0)


async def _play_lost(
    case: LostCall, *, restart_after_s: float | None = None
) -> list[float]:
    process = Process()
    process.calls.faults[case.kind] = list(case.faults)
    if restart_after_s is not None:
        await asyncio.sleep(restart_after_s)
        process.restart()
    await asyncio.sleep(STAYS_S + len(case.faults) * LEASE_TTL_S)
    process.stop()
    return process.watch.missing_after(
        process.calls.disturbed_until + REGISTERED_S
    )


class LateRegistrationTest(unittest.TestCase):
    """Guards against a late write that undoes a newer registration.

    The host had opened another lease meanwhile and registered under it. The
    old write took the key to the old lease, which nobody renewed: the host
    ran on without a registration, and hosts divided the limits of targets by
    too small a number.
    """

    def setUp(self) -> None:
        """Give the same random delays each time."""
        random.seed(7)

    def test_each_call(self) -> None:
        """Whichever call is lost and done late, the host is registered."""
        for case in TABLE:
            with self.subTest(case=case):
                missing = run_in_virtual_time(
                    VirtualTimeLoop(), _play_lost(case)
                )
                self.assertEqual(missing, [])

    def test_earlier_process(self) -> None:
        """Guards against the late write of a process that was killed."""
        for case in TABLE:
            with self.subTest(case=case):
                missing = run_in_virtual_time(
                    VirtualTimeLoop(), _play_lost(case, restart_after_s=0.3)
                )
                self.assertEqual(missing, [])

    def test_replaced_by_others(self) -> None:
        """A registration that was taken to another lease is put back."""

        async def play() -> Process:
            process = Process()
            await asyncio.sleep(5)
            process.calls.replace_by_others(RECORD)
            await asyncio.sleep(LEASE_TTL_S + STAYS_S)
            process.stop()
            return process

        process = run_in_virtual_time(VirtualTimeLoop(), play())
        since = process.calls.disturbed_until + REGISTERED_S
        self.assertEqual(process.watch.missing_after(since), [])

    def test_quiet_calls(self) -> None:
        """A host whose copy of the store is stuck makes few calls for it."""

        async def play() -> Process:
            process = Process(stuck=True)
            await asyncio.sleep(60)
            process.stop()
            return process

        counts = run_in_virtual_time(VirtualTimeLoop(), play()).calls.counts
        self.assertEqual(counts[WRITE], 1)
        self.assertEqual(counts[OPEN], 1)
        self.assertLessEqual(counts[RENEW], QUIET_CALLS)
        self.assertLessEqual(counts[READ], QUIET_CALLS)

    def test_refused_calls(self) -> None:
        """While the store turns the host away, it makes a bounded number."""

        async def play() -> Process:
            process = Process()
            refusals = itertools.repeat(Refused(), REFUSALS)
            process.calls.faults[OPEN] = list(refusals)
            await asyncio.sleep(60)
            process.stop()
            return process

        counts = run_in_virtual_time(VirtualTimeLoop(), play()).calls.counts
        shortest_s = RETRY_INTERVAL_S * min(RETRY_JITTER)
        self.assertLessEqual(counts[OPEN], 60 / shortest_s + 1)


async def _play_withdrawal(case: LostCall, after_s: float) -> list[float]:
    process = Process()
    process.calls.faults[case.kind] = list(case.faults)
    await asyncio.sleep(after_s)
    loop = asyncio.get_running_loop()
    stopping_at = loop.time()
    await process.registration.withdraw()
    await asyncio.sleep(STAYS_S)
    process.stop()
    ended_by = max(stopping_at, process.calls.disturbed_until)
    ended_by += RETRY_INTERVAL_S * max(RETRY_JITTER) + SAMPLE_S
    return [
        at - stopping_at
        for at, registered in process.watch.samples
        if at > ended_by and registered
    ]


class WithdrawalTest(unittest.TestCase):
    """Guards against a host that registers again while it stops."""

    def test_each_call(self) -> None:
        """After its withdrawal no call in progress registers the host."""
        random.seed(7)
        for case, after_s in itertools.product(
            (*TABLE, *ENDINGS), STOPPED_AFTER_S
        ):
            with self.subTest(case=case, after_s=after_s):
                registered = run_in_virtual_time(
                    VirtualTimeLoop(), _play_withdrawal(case, after_s)
                )
                self.assertEqual(registered, [])


FAULTS: st.SearchStrategy[Fault] = st.one_of(
    st.just(Refused()),
    st.just(Lost()),
    st.sampled_from((0, 0.5, 1.0, 2.2, 4.0, 6.0)).map(Lost),
)
#: What happens to the store or to the process.
OPERATIONS: dict[str, Callable[[Process], object]] = {  # noqa: WPS407
    'restart': Process.restart,
    'copy': lambda process: process.calls.take_copy(),
    'restore': lambda process: process.calls.restore(),
    'others_lease': lambda process: process.calls.open_by_others(),
    'others_write': lambda process: process.calls.replace_by_others(RECORD),
    'nothing': lambda _: None,
}
STEPS = st.lists(
    st.tuples(
        st.sampled_from(sorted(OPERATIONS)),
        st.sampled_from((READ, OPEN, WRITE, RENEW)),
        st.lists(FAULTS, max_size=2),
        st.sampled_from((0, 0.002, 0.1, 0.7, 2.0, 5.0, 9.0)),
    ),
    max_size=12,
)


async def _play_history(
    steps: list[tuple[str, str, list[Fault], float]],
) -> list[float]:
    process = Process()
    for name, kind, faults, pause_s in steps:
        OPERATIONS[name](process)
        process.calls.faults.setdefault(kind, []).extend(faults)
        await asyncio.sleep(pause_s)
    process.calls.faults.clear()
    loop = asyncio.get_running_loop()
    ended_at = loop.time()
    await asyncio.sleep(STAYS_S + LEASE_TTL_S)
    process.stop()
    since = max(ended_at, process.calls.disturbed_until)
    return process.watch.missing_after(since + REGISTERED_S)


class RegistrationHistoryTest(unittest.TestCase):
    """A host is registered after any history of lost and late calls."""

    @given(STEPS, st.integers(0, 2**16))
    @settings(max_examples=150, derandomize=True, deadline=None)
    def test_registered(
        self, steps: list[tuple[str, str, list[Fault], float]], seed: int
    ) -> None:
        """It is so soon after the last disturbance, and stays so."""
        random.seed(seed)
        missing = run_in_virtual_time(VirtualTimeLoop(), _play_history(steps))
        self.assertEqual(missing, [])
