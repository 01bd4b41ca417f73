"""Tests of the share of first attempts at a new version."""

import unittest

from oriolestage.rollouts._orders import RolloutPhase, RolloutState
from oriolestage.rollouts._exposure import (
    MAX_COPY_AGE_AT_END_S,
    MAX_COPY_AGE_S,
)
from oriolestage.rollouts.tests.builders import (
    DURATION_S,
    NEW,
    OLD,
    ORDER_REVISION,
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
    StoredFact,
    TargetStored,
)
from oriolestage.routing.tests.builders import make_record


class ShareTest(unittest.TestCase):
    """The share is that of the status, or 0 if that may not hold."""

    def setUp(self) -> None:
        """Let a host read an order and its first status."""
        self._host = Host()
        self._host.book.replace_all(targets_of(OLD), 0)
        self._host.book.apply(OrderStored(make_order()), 0)
        self._host.book.apply(StatusStored(make_status()), 0)

    def test_order_without_status(self) -> None:
        """Guards against a share that a host takes by itself."""
        host = Host()
        host.book.replace_all(targets_of(OLD), 0)
        host.book.apply(OrderStored(make_order()), 0)
        self.assertEqual(host.share(1), 0)

    def test_old_copy(self) -> None:
        """Guards against a host that has missed a rollback."""
        self._host.age_s = MAX_COPY_AGE_S - 0.1
        self.assertEqual(self._host.share(4), 0.1)
        self._host.age_s = MAX_COPY_AGE_S + 0.1
        self.assertEqual(self._host.share(4), 0)

    def test_old_copy_at_the_end(self) -> None:
        """Guards against a ramp that goes on while the store is away."""
        ramp = make_status(phase=RolloutPhase.RAMP, share=1, phase_since_s=4)
        self._host.book.apply(StatusStored(ramp), 0)
        self._host.age_s = MAX_COPY_AGE_AT_END_S + 0.1
        self.assertEqual(self._host.share(8), 1)
        self.assertEqual(self._host.share(9.1), 0)

    def test_log(self) -> None:
        """A change of the share is logged once, with what holds it back."""
        self.assertEqual(len(self._host.book.changes_of_shares(1)), 1)
        self._host.age_s = MAX_COPY_AGE_S + 0.1
        changes = self._host.book.changes_of_shares(5)
        changes += self._host.book.changes_of_shares(5.2)
        self.assertEqual(
            [change.event for change in changes], ['rollout_share']
        )
        fields = dict(changes[0].fields)
        self.assertEqual(
            (fields['share'], fields['held_because']), (0, 'old_copy')
        )

    def test_limited_ramp(self) -> None:
        """A ramp of a limited time ends by itself at all hosts."""
        ramp = make_status(
            phase=RolloutPhase.RAMP, share=1, phase_since_s=4, full_until_s=6
        )
        self._host.book.apply(StatusStored(ramp), 0)
        self.assertEqual(self._host.share(5.9), 1)
        self.assertEqual(self._host.share(6.1), 0.1)

    def test_deadline(self) -> None:
        """Guards against exposure after a deadline without a decision."""
        self.assertEqual(self._host.share(DURATION_S + 0.1), 0)

    def test_bad_before_the_decision(self) -> None:
        """A host stops at once when it knows that the version is bad."""
        bad = make_evidence(new=make_counts(good=5, failed=5))
        self._host.book.apply(EvidenceStored(bad), 1)
        self.assertEqual(self._host.share(1), 0)

    def test_budget_used(self) -> None:
        """Guards against exposure beyond the budget, whatever the verdict."""
        for exposed, share in ((50, 0.1), (70, 0)):
            evidence = make_evidence(
                f'p-{exposed}', requests=100 + exposed, exposed=exposed
            )
            host = Host()
            host.book.replace_all(targets_of(OLD), 0)
            host.book.apply(OrderStored(make_order()), 0)
            host.book.apply(StatusStored(make_status()), 0)
            host.book.apply(EvidenceStored(evidence), 1)
            self.assertEqual(host.share(5), share, exposed)

    def test_elapsed_of_others(self) -> None:
        """A host that starts late takes the elapsed time from the status."""
        host = Host()
        host.book.replace_all(
            [
                StatusStored(make_status(elapsed_s=11)),
                OrderStored(make_order()),
                *targets_of(OLD, NEW),
            ],
            100,
        )
        self.assertEqual(host.share(100.9), 0.1)
        self.assertEqual(host.share(101.1), 0)


class VersionsTest(unittest.TestCase):
    """Only versions that were there before, or were ordered, are used."""

    def setUp(self) -> None:
        """Let a host read the registrations of one version."""
        self._host = Host()
        self._host.book.replace_all(targets_of(OLD), 0)

    def _apply(self, *facts: OrderStored | StatusStored | OrderRemoved) -> None:
        for fact in facts:
            self._host.book.apply(fact, 0)

    def test_unknown_version(self) -> None:
        """A version that registers later is not known, and logged once."""
        record = make_record('t-x', SERVICE, version='v9')
        events = [
            change.event
            for _ in range(2)
            for change in self._host.book.record_target(record)
        ]
        self.assertEqual(events, ['target_version_unknown'])
        self.assertEqual(self._host.known(1), {OLD})

    def test_start_in_the_middle(self) -> None:
        """Guards against a new version that counts as known after a start."""
        host = Host()
        host.book.replace_all(
            [*targets_of(OLD, NEW), OrderStored(make_order())], 0
        )
        self.assertEqual(host.known(1), {OLD})

    def test_start_after_a_rollback(self) -> None:
        """Guards against a rejected version after its order was removed."""
        rejected = make_status(
            state=RolloutState.ROLLED_BACK, rejected_versions=(NEW,)
        )
        host = Host()
        host.book.replace_all(
            [*targets_of(OLD, NEW), StatusStored(rejected)], 0
        )
        split = host.book.split(SERVICE, 1)
        assert split is not None
        self.assertEqual(split.known, {OLD})
        self.assertEqual(split.rejected, {NEW})

    def test_completed(self) -> None:
        """After the end only the new version is known."""
        done = make_status(state=RolloutState.COMPLETED, known_versions=(NEW,))
        self._apply(OrderStored(make_order()), StatusStored(done))
        self.assertEqual(self._host.known(1), {NEW})

    def test_ordered_again(self) -> None:
        """A version that was rolled back can be ordered again."""
        rejected = make_status(
            state=RolloutState.ROLLED_BACK, rejected_versions=(NEW,)
        )
        self._apply(OrderStored(make_order()), StatusStored(rejected))
        self._apply(OrderStored(make_order(revision=30)))
        split = self._host.book.split(SERVICE, 1)
        assert split is not None
        self.assertEqual(split.rejected, set())
        self.assertEqual(split.trial, NEW)
        self.assertEqual(split.share, 0)

    def test_replaced_order(self) -> None:
        """The status of an earlier order gives the next one no share."""
        self._apply(OrderStored(make_order()), StatusStored(make_status()))
        self._apply(OrderStored(make_order(30, 'v3')))
        split = self._host.book.split(SERVICE, 1)
        assert split is not None
        self.assertEqual((split.trial, split.share), ('v3', 0))
        self.assertEqual(split.known, {OLD})

    def test_removed_order(self) -> None:
        """Nothing is sent to a version whose order was removed."""
        self._apply(OrderStored(make_order()), StatusStored(make_status()))
        self._apply(OrderRemoved(SERVICE))
        split = self._host.book.split(SERVICE, 1)
        assert split is not None
        self.assertEqual((split.trial, split.known), ('', {OLD}))

    def test_first_target_of_a_service(self) -> None:
        """The version of a new service is known without an order."""
        record = make_record('t-n', 'new', version='v7')
        self._host.book.record_target(record)
        self.assertIsNone(self._host.book.split('new', 1))
        other = make_record('t-o', 'new', version='v8')
        self._host.book.record_target(other)
        split = self._host.book.split('new', 1)
        assert split is not None
        self.assertEqual(split.known, {'v7'})


class RestorationTest(unittest.TestCase):
    """A store that returns to an older copy does not undo a roll-out."""

    def _complete(self, host: Host) -> None:
        """Let a host read an order and its end."""
        host.book.replace_all(targets_of(OLD), 0)
        host.book.apply(OrderStored(make_order()), 0)
        done = make_status(
            state=RolloutState.COMPLETED, known_versions=(NEW,), elapsed_s=9
        )
        host.book.apply(StatusStored(done), 9)

    def test_lost_order(self) -> None:
        """An order that is written again continues where it was."""
        host = Host()
        host.book.replace_all(targets_of(OLD), 0)
        host.book.apply(OrderStored(make_order()), 0)
        host.book.apply(StatusStored(make_status(elapsed_s=4)), 4)
        host.book.start_restoration(5)
        host.book.replace_all(targets_of(OLD, NEW), 5)
        self.assertEqual(host.known(5), {OLD})
        host.book.apply(OrderStored(make_order(revision=8)), 6)
        rollout = host.book.find(SERVICE)
        assert rollout is not None
        self.assertAlmostEqual(rollout.elapsed_s(6), 6)
        self.assertEqual(host.book.remove_unconfirmed(20), [])

    def test_order_that_stays_lost(self) -> None:
        """An order that nobody writes again is forgotten."""
        host = Host()
        host.book.replace_all(targets_of(OLD), 0)
        host.book.apply(OrderStored(make_order()), 0)
        host.book.start_restoration(5)
        host.book.replace_all(targets_of(OLD), 5)
        self.assertEqual(host.book.remove_unconfirmed(6), [])
        events = [change.event for change in host.book.remove_unconfirmed(20)]
        self.assertEqual(events, ['rollout_order_removed'])

    def test_lost_order_and_earlier_status(self) -> None:
        """The versions after an end stay if its order and status are lost."""
        host = Host(hosts=('host-0',))
        self._complete(host)
        host.book.start_restoration(20)
        earlier = make_status(
            order=3,
            target_version=OLD,
            state=RolloutState.COMPLETED,
            revision=5,
        )
        host.book.replace_all([StatusStored(earlier)], 20)
        self.assertEqual(host.known(20), {NEW})
        host.book.apply(OrderStored(make_order(revision=8)), 21)
        again = host.decider.due_statuses(21)[0]
        self.assertEqual(again.state, RolloutState.COMPLETED)
        host.book.apply(StatusStored(again), 22)
        self.assertEqual(host.known(22), {NEW})

    def test_earlier_order(self) -> None:
        """Guards against a second trial of the version of an earlier order.

        The later order is written again, or is not.
        """
        earlier: list[StoredFact] = [
            OrderStored(make_order(3, 'v0')),
            StatusStored(make_status(order=3, target_version='v0', revision=4)),
        ]
        for written_again in (True, False):
            with self.subTest(written_again=written_again):
                host = Host(hosts=('host-0',))
                self._complete(host)
                host.book.start_restoration(20)
                host.book.replace_all(earlier, 20)
                self.assertEqual(host.known(20), {NEW})
                self.assertEqual(host.share(20), 0)
                again = host.decider.due_statuses(20)[0]
                self.assertEqual(again.state, RolloutState.COMPLETED)
                self.assertEqual(again.revision, 4)
                if written_again:
                    host.book.apply(OrderStored(make_order(revision=8)), 21)
                host.book.remove_unconfirmed(30)
                rollout = host.book.find(SERVICE)
                assert rollout is not None
                assert rollout.order is not None
                version = NEW if written_again else 'v0'
                self.assertEqual(rollout.order.target_version, version)

    def test_lost_end(self) -> None:
        """Guards against old targets that have stopped and are used again."""
        host = Host(hosts=('host-0',))
        self._complete(host)
        host.book.start_restoration(9.5)
        host.book.replace_all(
            [
                OrderStored(make_order()),
                StatusStored(make_status(elapsed_s=3, revision=14)),
                TargetStored(make_record('t-1', SERVICE, version=OLD)),
            ],
            9.5,
        )
        self.assertEqual(host.known(9.5), {NEW})
        again = host.decider.due_statuses(9.5)[0]
        self.assertEqual(again.state, RolloutState.COMPLETED)
        self.assertEqual((again.revision, again.order), (14, ORDER_REVISION))
