"""Tests of unexpected errors while one of many items is handled."""

from collections.abc import Callable
from unittest import TestCase, mock

from oriolestage.core import MayHaveRun, NotRun, Reason, SendData
from oriolestage.core._messages import (
    ShardBatch,
    ShardEntry,
    ShardReplies,
    ShardReply,
    SyncRequest,
)
from oriolestage.core.targets._owned_targets import OwnedTargets
from oriolestage.core.targets._target_owner import TargetOwner
from oriolestage.core.tests.builders import small_configuration
from oriolestage.core.tests.messages import data_messages, peer_member
from oriolestage.core.tests.nodes import (
    SimulatedNode,
    Timeline,
    document_record,
    encode_record,
    put_value,
)
from scenarios.fake_store import FakeStore

#: Reply to an attempt that did not answer.
LOST = MayHaveRun(Reason.TARGET_LOST, 'owner.call', 'search-0-0')


def _failing_for(method: Callable, bad: str, name_of: Callable) -> Callable:
    """Return a method that raises an error for one name."""

    def wrapper(part, *arguments, **options):
        if name_of(*arguments) == bad:
            raise KeyError(bad)
        return method(part, *arguments, **options)

    return wrapper


class FailingItemTest(TestCase):
    """An error of one item does not keep others from being handled."""

    def setUp(self) -> None:
        """Create a store with a configuration."""
        self.timeline = Timeline()
        self.store = FakeStore(self.timeline.call_later)
        first = encode_record(document_record(1))
        put_value(self.store, 'config/revision/0000000001', first, 0)
        self.node = SimulatedNode.build(self.timeline, self.store)

    def test_replies(self) -> None:
        """Guards against requests that wait for a reply that has come."""
        self.timeline.run_for(2)
        attempts = self.node.core.attempts
        handled: list[int] = []
        callbacks = (
            mock.Mock(side_effect=KeyError('callback')),
            lambda reply: handled.append(reply.attempt),
            lambda reply: handled.append(reply.attempt),
        )
        numbers = [
            attempts.register('entry-2', 'search-0-0', callback)
            for callback in callbacks
        ]
        replies = tuple(ShardReply(number, LOST) for number in numbers)
        message = ShardReplies('entry-2', replies, 1)
        self.node.core.on_data(self.timeline.now, message)
        self.assertEqual(handled, numbers[1:])
        self.assertEqual(self.node.core.failures, 1)

    def test_peer_lost(self) -> None:
        """Guards against requests that outlive the link to their peer."""
        self.timeline.run_for(2)
        attempts = self.node.core.attempts
        ended: list[ShardReply] = []
        callbacks = (mock.Mock(side_effect=KeyError('callback')), ended.append)
        for callback in callbacks:
            attempts.register('entry-2', 'search-0-0', callback)
        self.node.core.on_peer_lost(self.timeline.now, 'entry-2')
        self.assertEqual(len(ended), 1)

    def test_batch(self) -> None:
        """Guards against a batch that is not answered at all."""
        self.timeline.run_for(2)
        self.node.core.on_gossip(
            self.timeline.now, SyncRequest(peer_member(), 0)
        )
        batch = data_messages()[0]
        assert isinstance(batch, ShardBatch)
        entries = (ShardEntry(1, 'ghost'), ShardEntry(2, 'ghost-2'))
        failing = _failing_for(
            TargetOwner._refusal_for, 'ghost', lambda task: task.entry.target
        )
        with mock.patch.object(TargetOwner, '_refusal_for', failing):
            self.node.core.on_data(
                self.timeline.now, _with_entries(batch, entries)
            )
        self.node.execute_effects()
        replies = [
            reply
            for _, effect in self.node.effects
            if isinstance(effect, SendData)
            and isinstance(effect.message, ShardReplies)
            for reply in effect.message.replies
        ]
        outcomes = {reply.attempt: reply.outcome for reply in replies}
        self.assertEqual(
            outcomes[1],
            MayHaveRun(Reason.TARGET_ERROR, 'owner.admission', 'ghost'),
        )
        assert isinstance(outcomes[2], NotRun)
        self.assertIs(outcomes[2].reason, Reason.NOT_OWNER)

    def test_owned_targets(self) -> None:
        """Guards against a host that takes over no target after one error."""
        failing = _failing_for(
            OwnedTargets._acquire,
            'search-0-0',
            lambda target, owner_before: target.name,
        )
        with mock.patch.object(OwnedTargets, '_acquire', failing):
            self.timeline.run_for(2)
        names = {target.name for target in small_configuration().targets}
        owned = {
            limiter.target.name
            for limiter in self.node.core.owner.owned.limiters
        }
        self.assertEqual(owned, names - {'search-0-0'})
        self.assertEqual(self.node.core.failures, 1)

    def test_released_targets(self) -> None:
        """Guards against targets that two hosts own after one error."""
        self.timeline.run_for(2)
        owned = self.node.core.owner.owned
        failing = _failing_for(
            OwnedTargets._confirm_release, 'search-0-0', lambda name: name
        )
        with mock.patch.object(OwnedTargets, '_confirm_release', failing):
            owned.release_all('tests')
        self.assertEqual(owned.limiters, ())
        self.assertEqual(self.node.core.failures, 1)

    def test_changes(self) -> None:
        """Guards against a revision that only some parts have taken."""
        called = mock.Mock()
        configuration = self.node.core.configuration
        configuration.on_change(mock.Mock(side_effect=KeyError('change')))
        configuration.on_change(called)
        self.timeline.run_for(2)
        self.assertEqual(called.call_count, 1)
        self.assertEqual(self.node.core.failures, 1)
        self.assertEqual(self.node.core.unreadable.current, ())


def _with_entries(
    batch: ShardBatch, entries: tuple[ShardEntry, ...]
) -> ShardBatch:
    return ShardBatch(
        batch.sender,
        batch.request_id,
        batch.caller,
        batch.fingerprint,
        batch.route,
        batch.body,
        batch.version,
        batch.timeout_ms,
        batch.idempotent,
        entries,
        batch.revision,
    )
