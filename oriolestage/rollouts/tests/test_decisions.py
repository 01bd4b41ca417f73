"""Tests of the statuses that a host has to write."""

import dataclasses
import unittest

from oriolestage._rendezvous import rendezvous_rank
from oriolestage.rollouts._decisions import REFRESH_S
from oriolestage.rollouts._orders import (
    RolloutPhase,
    RolloutState,
    RolloutStatus,
)
from oriolestage.rollouts.tests.builders import (
    DURATION_S,
    HOSTS,
    NEW,
    OLD,
    SERVICE,
    Host,
    make_counts,
    make_evidence,
    make_order,
    make_status,
    targets_of,
)
from oriolestage.routing._facts import (
    EvidenceStored,
    OrderRemoved,
    OrderStored,
    StatusStored,
)


def _ordered_host(name: str = HOSTS[0], *, alone: bool = True) -> Host:
    host = Host(name, (name,) if alone else HOSTS)
    host.book.replace_all(targets_of(OLD), 0)
    host.book.apply(OrderStored(make_order()), 0)
    return host


class TurnTest(unittest.TestCase):
    """Hosts write one after another, until one has written."""

    def test_delay_by_rank(self) -> None:
        """Guards against all hosts that write at once, and against none."""
        written_at: list[float] = []
        for name in rendezvous_rank(SERVICE, HOSTS):
            host = _ordered_host(name, alone=False)
            times = [number / 10 for number in range(30)]
            written_at.append(
                next(now for now in times if host.decider.due_statuses(now))
            )
        self.assertEqual(written_at, [0, 0.3, 0.6, 0.9])

    def test_written_by_another(self) -> None:
        """A host leaves it at what another one has written."""
        second = rendezvous_rank(SERVICE, HOSTS)[1]
        host = _ordered_host(second, alone=False)
        self.assertEqual(host.decider.due_statuses(0), [])
        host.book.apply(StatusStored(make_status()), 0.2)
        self.assertEqual(host.decider.due_statuses(0.5), [])

    def test_not_repeated_at_once(self) -> None:
        """A status is not written again before it can have been read."""
        host = _ordered_host()
        self.assertEqual(len(host.decider.due_statuses(0)), 1)
        host.decider.record_write(SERVICE, 3)
        self.assertEqual(host.decider.due_statuses(1), [])
        self.assertEqual(len(host.decider.due_statuses(3)), 1)


class DecisionTest(unittest.TestCase):
    """The decision follows from the evidence and the time."""

    def setUp(self) -> None:
        """Let a host that decides alone read an order and its status."""
        self._host = _ordered_host()

    def _decide(self, now: float, **status: object) -> RolloutStatus | None:
        self._host.book.apply(StatusStored(make_status(**status)), now)
        due = self._host.decider.due_statuses(now)
        return due[0] if due else None

    def _report(self, **changes: object) -> None:
        evidence = dataclasses.replace(
            make_evidence(elapsed_s=0),
            **changes,  # type: ignore[arg-type]
        )
        self._host.book.apply(EvidenceStored(evidence), 0)

    def test_first_status(self) -> None:
        """An order starts with a small share and names the old versions."""
        status = self._host.decider.due_statuses(0)[0]
        self.assertEqual(status.phase, RolloutPhase.CANARY)
        self.assertEqual((status.share, status.revision), (0.1, 0))
        self.assertEqual(status.known_versions, (OLD,))

    def test_bad(self) -> None:
        """A bad version is rolled back at once, with the reason."""
        self._report(new=make_counts(good=5, failed=5))
        status = self._decide(1)
        assert status is not None
        self.assertEqual(status.state, RolloutState.ROLLED_BACK)
        self.assertIn('5_failed', status.reason)
        self.assertEqual(status.rejected_versions, (NEW,))
        self.assertEqual((status.bad, status.exposed), (5, 10))

    def test_ramp_with_few_requests(self) -> None:
        """All first attempts are exposed as soon as the budget allows it."""
        self._report(requests=8, exposed=1, new=make_counts(good=1))
        self.assertIsNone(self._decide(2.5, elapsed_s=2))
        status = self._decide(3.1, elapsed_s=3)
        assert status is not None
        self.assertEqual(status.phase, RolloutPhase.RAMP)
        self.assertEqual(status.share, 1)
        self.assertEqual(status.full_until_s, float('inf'))

    def test_ramp_with_many_requests(self) -> None:
        """Guards against a ramp that exceeds the budget before the end."""
        self._report(requests=600, exposed=60, new=make_counts(good=60))
        self.assertIsNone(self._decide(6, elapsed_s=6))
        status = self._decide(6.6, elapsed_s=6.5)
        assert status is not None
        self.assertEqual(status.phase, RolloutPhase.RAMP)
        self.assertLess(status.full_until_s, 8.5)

    def test_doubtful_is_not_ramped(self) -> None:
        """A version with early failures is not exposed further."""
        self._report(requests=20, exposed=2, new=make_counts(failed=2))
        self.assertIsNone(self._decide(5, elapsed_s=5))

    def test_completed(self) -> None:
        """A good version is completed at the planned time."""
        good = make_counts(good=30)
        self._report(requests=100, exposed=30, new=good, ramp=good)
        ramp = {'phase': RolloutPhase.RAMP, 'phase_since_s': 4, 'share': 1}
        self.assertIsNone(self._decide(8.9, elapsed_s=8, **ramp))
        status = self._decide(9, elapsed_s=8, **ramp)
        assert status is not None
        self.assertEqual(status.state, RolloutState.COMPLETED)
        self.assertEqual(status.known_versions, (NEW,))

    def test_too_few_responses(self) -> None:
        """The end waits for more responses, but not beyond the latest time."""
        ramp = {'phase': RolloutPhase.RAMP, 'phase_since_s': 4, 'share': 1}
        self._report(requests=9, exposed=3, new=make_counts(good=3))
        self.assertIsNone(self._decide(9, elapsed_s=8, **ramp))
        status = self._decide(DURATION_S - 1.5, elapsed_s=10, **ramp)
        assert status is not None
        self.assertEqual(status.state, RolloutState.COMPLETED)

    def test_doubtful_at_the_end(self) -> None:
        """In doubt, the version is rolled back."""
        self._report(new=make_counts(good=6, failed=2))
        status = self._decide(DURATION_S - 1.5, elapsed_s=10)
        assert status is not None
        self.assertEqual(status.state, RolloutState.ROLLED_BACK)

    def test_missed_deadline(self) -> None:
        """Without a decision at the deadline, the version is rolled back."""
        status = self._decide(DURATION_S, elapsed_s=8)
        assert status is not None
        self.assertEqual(status.state, RolloutState.ROLLED_BACK)
        self.assertEqual(status.reason, 'deadline')

    def test_no_targets(self) -> None:
        """Guards against the end of the old targets without new ones."""
        self._host.has_targets = False
        self.assertIsNone(self._decide(9, elapsed_s=8))
        status = self._decide(DURATION_S - 1.5, elapsed_s=10)
        assert status is not None
        self.assertEqual(status.reason, 'no_targets')

    def test_removed_order(self) -> None:
        """Operators read that a removed order was given up."""
        self._host.book.apply(StatusStored(make_status()), 1)
        self._host.book.apply(OrderRemoved(SERVICE), 2)
        status = self._host.decider.due_statuses(2)[0]
        self.assertEqual(status.state, RolloutState.ROLLED_BACK)
        self.assertEqual(status.reason, 'order_removed')

    def test_refresh(self) -> None:
        """Guards against a host that starts and learns an old elapsed time."""
        self._host.has_targets = False
        self.assertIsNone(self._decide(1, elapsed_s=1))
        status = self._decide(1 + REFRESH_S, elapsed_s=1)
        assert status is not None
        self.assertEqual(status.phase, RolloutPhase.CANARY)
        self.assertAlmostEqual(status.elapsed_s, 1 + REFRESH_S)

    def test_order_read_after_an_outage(self) -> None:
        """Guards against a deadline that is missed by the time of an outage."""
        host = Host(hosts=('host-0',))
        host.book.replace_all(targets_of(OLD), 0)
        host.book.record_outage(3, 10)
        host.book.apply(OrderStored(make_order()), 10)
        status = host.decider.due_statuses(10)[0]
        self.assertAlmostEqual(status.elapsed_s, 3)

    def test_several_orders_after_an_outage(self) -> None:
        """Guards against an outage that counts for one order only."""
        host = Host(hosts=('host-0',))
        host.book.record_outage(3, 10)
        for service in ('a', 'b'):
            order = dataclasses.replace(make_order(), service=service)
            host.book.apply(OrderStored(order), 10)
        for status in host.decider.due_statuses(10):
            self.assertAlmostEqual(status.elapsed_s, 3)

    def test_order_long_after_an_outage(self) -> None:
        """An order that was read at once did not wait for the store."""
        host = Host(hosts=('host-0',))
        host.book.record_outage(3, 10)
        host.book.apply(OrderStored(make_order()), 100)
        status = host.decider.due_statuses(100)[0]
        self.assertAlmostEqual(status.elapsed_s, 0)


class EvidenceTest(unittest.TestCase):
    """The counters of all processes are summed."""

    def test_order_written_again(self) -> None:
        """Hosts that know only its new revision use the counters."""
        host = _ordered_host()
        host.book.apply(StatusStored(make_status()), 0)
        host.book.own.record_sent(SERVICE, NEW)
        rollout = host.book.find(SERVICE)
        assert rollout is not None
        host.book.count_own(rollout, 1)
        order = make_order(revision=50)
        host.book.apply(OrderStored(order), 1)
        host.book.count_own(rollout, 2)
        report = host.book.own.unwritten(SERVICE, new_only=False)
        assert report is not None
        started = Host()
        started.book.apply(OrderStored(order), 2)
        started.book.apply(EvidenceStored(report), 2)
        known = started.book.find(SERVICE)
        assert known is not None
        self.assertEqual(known.evidence.exposed, 1)

    def test_process_that_is_gone(self) -> None:
        """Counters go up only, also if an entry is older or another's."""
        host = _ordered_host()
        host.book.apply(StatusStored(make_status()), 0)
        for evidence in (
            make_evidence('a', requests=50, exposed=5),
            make_evidence('a', requests=40, exposed=4),
            make_evidence('b', requests=10, exposed=1),
            make_evidence('c', requests=99, exposed=9, order=3),
        ):
            host.book.apply(EvidenceStored(evidence), 1)
        rollout = host.book.find(SERVICE)
        assert rollout is not None
        self.assertEqual(rollout.evidence.requests, 60)
        self.assertEqual(rollout.evidence.exposed, 6)
