"""Tests of unexpected errors in the periodic work of the core."""

from unittest import TestCase, mock

from oriolestage.core import (
    ReadHostList,
    SendGossip,
    StoreWatch,
)
from oriolestage.core._messages import Ping
from oriolestage.core.tests.nodes import (
    SimulatedNode,
    Timeline,
    document_record,
    encode_record,
    put_value,
)
from scenarios.fake_store import FakeStore

PARTS = 'oriolestage.core'
#: Methods that are made to fail once.
FAILING_METHODS = (
    f'{PARTS}.membership._prober.Prober.ping',
    f'{PARTS}.membership._prober.Prober._forget_old_probes',
    f'{PARTS}._node_lifecycle.NodeLifecycle.update_configuration_state',
    f'{PARTS}.targets._owned_targets.OwnedTargets.probe_leaving',
    f'{PARTS}._store_port.StorePort.watch',
    f'{PARTS}._store_port.StorePort.read_host_list',
    f'{PARTS}.membership._membership.Membership.remove_absent',
    f'{PARTS}.configuration._configuration_store.decode_record',
    f'{PARTS}.configuration._configuration_tracker.rendezvous_rank',
    f'{PARTS}.membership._host_directory.decode_host_list',
)


class FailingTimerTest(TestCase):
    """Periodic work goes on after an error of one round."""

    def test_every_part_goes_on(self) -> None:
        """Guards against a host that stops following the store or its peers.

        Some parts set their next timer after the step that failed.
        """
        for method in FAILING_METHODS:
            with self.subTest(method):
                timeline = Timeline()
                node = self._start(timeline)
                timeline.errors = []
                with mock.patch(
                    method, side_effect=KeyError(method)
                ) as failing:
                    while not failing.called and timeline.now < 20:
                        self._change_revision(node)
                        timeline.run_for(0.01)
                self.assertTrue(failing.called)
                self._check_goes_on(timeline, node)

    def test_seeds(self) -> None:
        """A host without peers goes on to contact its seeds."""
        timeline = Timeline()
        store = FakeStore(timeline.call_later)
        node = SimulatedNode.build(timeline, store, seeds=('127.0.0.9:7003',))
        timeline.errors = []
        with mock.patch(
            f'{PARTS}.membership._membership.Membership.contact',
            side_effect=KeyError('contact'),
        ) as failing:
            while not failing.called:
                timeline.run_for(0.01)
        timeline.run_for(5)
        contacts = [
            effect
            for _, effect in node.effects
            if isinstance(effect, SendGossip)
            and effect.address == '127.0.0.9:7003'
        ]
        self.assertGreaterEqual(len(contacts), 5)

    def test_poll(self) -> None:
        """An operator who waits for a revision is answered."""
        timeline = Timeline()
        node = self._start(timeline)
        timeline.errors = []
        reports: list = []
        with mock.patch(
            f'{PARTS}._effects.Outbox.add', side_effect=KeyError('send')
        ):
            with timeline.caught_errors():
                node.core.poll_revision(timeline.now, 9, 2.0, reports.append)
        timeline.run_for(5)
        self.assertEqual(len(reports), 1)

    def test_snapshot(self) -> None:
        """A host whose snapshot cannot be put in force reads the history."""
        timeline = Timeline()
        timeline.errors = []
        store = FakeStore(timeline.call_later)
        put_value(store, 'config/snapshot', b'\x80', 0)
        first = encode_record(document_record(1))
        put_value(store, 'config/revision/0000000001', first, 0)
        with mock.patch(
            f'{PARTS}.configuration._configuration_store.decode_snapshot',
            side_effect=KeyError('snapshot'),
        ):
            node = SimulatedNode.build(timeline, store)
            timeline.run_for(2)
        self.assertEqual(node.core.configuration.revision, 1)

    def _start(self, timeline: Timeline) -> SimulatedNode:
        store = FakeStore(timeline.call_later)
        first = encode_record(document_record(1))
        put_value(store, 'config/revision/0000000001', first, 0)
        node = SimulatedNode.build(timeline, store)
        SimulatedNode.build(
            timeline,
            store,
            name='entry-2',
            ip='127.0.0.2',
            seeds=('127.0.0.1:7003',),
        )
        timeline.run_for(2)
        return node

    def _change_revision(self, node: SimulatedNode) -> None:
        """Write the revision that the host watches, once."""
        revision = node.core.configuration.revision + 1
        record = encode_record(document_record(revision))
        put_value(node.store, f'config/revision/{revision:010d}', record, 0)

    def _check_goes_on(self, timeline: Timeline, node: SimulatedNode) -> None:
        # The revision that failed is not read again; another host sends it.
        node.core.configuration.adopt_records(
            [document_record(node.core.configuration.revision + 1)]
        )
        timeline.run_for(2)
        start = len(node.effects)
        timeline.run_for(11)
        effects = [effect for _, effect in node.effects[start:]]
        watches = sum(isinstance(effect, StoreWatch) for effect in effects)
        self.assertGreaterEqual(watches, 8)
        reads = sum(isinstance(effect, ReadHostList) for effect in effects)
        self.assertGreaterEqual(reads, 2)
        pings = sum(
            isinstance(effect, SendGossip) and isinstance(effect.message, Ping)
            for effect in effects
        )
        self.assertGreaterEqual(pings, 2)
        self.assertTrue(node.core.ready)
        self.assertEqual(node.core.state, 'serving')
