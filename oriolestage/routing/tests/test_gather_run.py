"""Tests of queries over the shards of a group."""

import dataclasses
import unittest

from oriolestage.routing._answers import (
    AttemptAnswered,
    AttemptLost,
    Gathered,
    GiveUpReason,
    Refused,
)
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._run_types import (
    Action,
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    SendAttempt,
    SendBatch,
)
from oriolestage.routing.tests.builders import (
    make_answer,
    make_group,
    make_placement,
    make_rule,
    shard_records,
)
from oriolestage.routing.tests.runs import (
    attempts_in,
    batches_in,
    result_in,
    start_run,
)

#: HTTP status of a target that failed.
SERVER_ERROR = 500


class GatherTest(unittest.TestCase):
    """Queries over 20 shards with targets in three regions."""

    def setUp(self) -> None:
        """Start a query with two thirds of its shards in this region."""
        self._rule = make_rule(make_group())
        self._run, self._first = start_run(self._rule, shard_records())

    def _answer_local_shards(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sent in attempts_in(self._first):
            actions = self._run.on_outcome(
                sent.attempt,
                AttemptAnswered(make_answer(signature=str(sent.attempt))),
                now,
            )
        return actions

    def _batch_reply(
        self,
        batch: SendBatch,
        late_services: frozenset[str] = frozenset(),
    ) -> BatchAnswered:
        names = [part.service for part in batch.parts]
        answered = {
            name: f'b-{name}' for name in names if name not in late_services
        }
        bodies = {} if batch.merged else dict.fromkeys(answered, b'b' * 16)
        return BatchAnswered(
            signatures=answered,
            body=b'b' * 16,
            bodies=bodies,
            failed=frozenset(),
            final=not late_services,
            work_s=0.01,
        )

    def test_remote_shards_share_one_batch(self) -> None:
        """Shards without a target in this region are sent in one batch."""
        batches = batches_in(self._first)
        self.assertEqual(len(batches), 1)
        self.assertTrue(batches[0].merged)
        local = attempts_in(self._first)
        self.assertEqual(len(local) + len(batches[0].parts), 20)

    def test_whole_answer(self) -> None:
        """The answer has one signature per shard and no missing shards."""
        self._answer_local_shards(0.015)
        batch = batches_in(self._first)[0]
        ended = self._run.on_batch_outcome(
            batch.batch,
            self._batch_reply(batch),
            0.06,
        )
        result = result_in(ended)
        self.assertIsInstance(result, Gathered)
        if isinstance(result, Gathered):
            self.assertEqual(result.missing, 0)
            self.assertEqual(len(set(result.signatures)), 20)
            self.assertEqual(len(result.body), 5 * 16)

    def test_merged_shard_is_not_merged_again(self) -> None:
        """A merged body replaces the answers of hedges for its shards.

        Otherwise the records of such a shard would be in the answer twice.
        """
        batch = batches_in(self._first)[0]
        self._answer_local_shards(0.015)
        hedges = self._run.on_timer(self._run.wake_at)
        second = batches_in(hedges)[0]
        self.assertFalse(second.merged)
        late = frozenset(part.service for part in second.parts[1:])
        first_reply = self._batch_reply(second, late)
        hedged = dict.fromkeys(first_reply.bodies, b'y' * 16)
        self.assertEqual(len(hedged), 1)
        unfinished = self._run.on_batch_outcome(
            second.batch,
            dataclasses.replace(first_reply, body=b'', bodies=hedged),
            0.1,
        )
        self.assertIsNone(result_in(unfinished))
        merged = dataclasses.replace(self._batch_reply(batch), body=b'z' * 16)
        result = result_in(
            self._run.on_batch_outcome(batch.batch, merged, 0.11)
        )
        assert isinstance(result, Gathered)
        self.assertEqual(result.missing, 0)
        self.assertEqual(len(result.signatures), 20)
        self.assertEqual(len(set(result.signatures)), 20)
        self.assertEqual(result.body.count(b'z' * 16), 1)
        self.assertNotIn(b'y', result.body)

    def test_hedge_does_not_raise_floor(self) -> None:
        """Records that may still be replaced do not raise the floor.

        A hedge answers a shard of a merged batch that is still in flight.
        The batch will replace its records, so a floor taken from them could
        make other shards drop records that belong in the answer.
        """
        records = shard_records()
        placement, directory = make_placement(
            'dc-a',
            tuple(one for one in records if one.identity != 't-0-1'),
        )
        run, first = start_run(self._rule, (), known=placement)
        lost: list[SendAttempt] = []
        for sent in attempts_in(first):
            if sent.target.record.service == 'shard-0':
                lost.append(sent)
                continue
            answered = AttemptAnswered(make_answer())
            run.on_outcome(sent.attempt, answered, 0.015)
        hedge = batches_in(run.on_timer(0.12))[0]
        hedged = hedge.parts[0].service
        run.on_batch_outcome(
            hedge.batch,
            BatchAnswered(
                signatures={hedged: 'hedge'},
                body=b'',
                bodies={hedged: b'z' * 80},
                failed=frozenset(),
                final=False,
                work_s=0.01,
            ),
            0.13,
        )
        for record in records:
            directory.register(record, 0.13)
        again = run.on_outcome(lost[0].attempt, AttemptLost('reset'), 0.131)
        self.assertEqual(batches_in(again)[0].floor, b'r' * 16)

    def test_late_shard_is_hedged_elsewhere(self) -> None:
        """A shard that a host reports as late is hedged in another region."""
        self._answer_local_shards(0.015)
        batch = batches_in(self._first)[0]
        late = batch.parts[0].service
        actions = self._run.on_batch_outcome(
            batch.batch,
            self._batch_reply(batch, frozenset((late,))),
            0.06,
        )
        again = batches_in(actions)
        self.assertEqual([part.service for part in again[0].parts], [late])
        self.assertNotEqual(again[0].regions, batch.regions)
        self.assertFalse(again[0].merged)

    def test_late_shard_is_awaited(self) -> None:
        """A late shard is awaited, not given up, if the budget is empty."""
        rule = make_rule(make_group(min_coverage=1), objective_s=0.1)
        empty = BudgetBounds(ratio=0, allowance=0)
        self._run, self._first = start_run(rule, shard_records(), empty)
        self._answer_local_shards(0.015)
        batch = batches_in(self._first)[0]
        late = batch.parts[0].service
        actions = self._run.on_batch_outcome(
            batch.batch,
            self._batch_reply(batch, frozenset((late,))),
            0.06,
        )
        self.assertIsNone(result_in(actions))
        rest = BatchAnswered(
            signatures={late: 'late'},
            body=b'',
            bodies={late: b'l' * 16},
            failed=frozenset(),
            final=True,
            work_s=0.01,
        )
        result = result_in(self._run.on_batch_outcome(batch.batch, rest, 0.3))
        self.assertIsInstance(result, Gathered)
        if isinstance(result, Gathered):
            self.assertEqual(result.missing, 0)

    def test_no_room_anywhere(self) -> None:
        """The run ends, with fewer than 100 sends, if all hosts decline.

        Without a limit, a declined shard would be sent to and fro between
        the hosts until the deadline.
        """
        rule = make_rule(make_group(min_coverage=1))
        self._run, self._first = start_run(rule, shard_records())
        self._answer_local_shards(0.015)
        batches = batches_in(self._first)
        result: object = None
        for step in range(40):
            now = 0.06 + step * 0.05
            actions: list[Action] = []
            for batch in batches:
                names = frozenset(part.service for part in batch.parts)
                refusal = BatchDeclined(
                    dict.fromkeys(names, 0.01),
                    final=True,
                )
                actions += self._run.on_batch_outcome(batch.batch, refusal, now)
            actions += self._run.on_timer(now)
            result = result or result_in(actions)
            batches = batches_in(actions)
        self.assertIsNotNone(result)
        self.assertLess(self._run.sent_count, 100)

    def test_declined(self) -> None:
        """A declined shard is sent at once, but not to the same region."""
        self._answer_local_shards(0.015)
        batch = batches_in(self._first)[0]
        declined = batch.parts[0].service
        actions = self._run.on_batch_outcome(
            batch.batch,
            BatchDeclined({declined: 0.01}, final=False),
            0.025,
        )
        again = batches_in(actions)
        services = {part.service for one in again for part in one.parts}
        sent = {
            action.target.record.service
            for action in actions
            if isinstance(action, SendAttempt)
        }
        self.assertEqual(services | sent, {declined})
        for one in again:
            self.assertFalse(one.regions & batch.regions)

    def test_lost_host(self) -> None:
        """The shards of a lost batch are sent again, but not to that host."""
        self._answer_local_shards(0.015)
        batch = batches_in(self._first)[0]
        actions = self._run.on_batch_outcome(
            batch.batch,
            BatchLost('reset', not_sent=True),
            0.05,
        )
        self.assertTrue(batches_in(actions) or attempts_in(actions))
        for again in batches_in(actions):
            self.assertNotEqual(again.peer.name, batch.peer.name)

    def test_partial_answer_before_objective(self) -> None:
        """A partial answer with enough shards precedes the objective."""
        self._answer_local_shards(0.015)
        batch = batches_in(self._first)[0]
        late_services = frozenset(part.service for part in batch.parts[:2])
        self._run.on_batch_outcome(
            batch.batch,
            self._batch_reply(batch, late_services),
            0.06,
        )
        result: object = None
        while result is None:
            now = self._run.wake_at
            result = result_in(self._run.on_timer(now))
        self.assertLess(now, self._rule.objective_s)
        self.assertIsInstance(result, Gathered)
        if isinstance(result, Gathered):
            self.assertEqual(result.missing, 2)

    def test_too_few_shards_possible(self) -> None:
        """A query that cannot reach its minimum coverage is refused at once."""
        records = tuple(
            record
            for record in shard_records()
            if record.service not in {'shard-0', 'shard-1', 'shard-2'}
        )
        _, actions = start_run(self._rule, records)
        self.assertIsInstance(result_in(actions), Refused)
        self.assertEqual(attempts_in(actions), [])

    def test_cause_of_refusal(self) -> None:
        """A refusal gives the reason of the shard that cannot be answered.

        The other shards are only unfinished and must not hide that reason.
        """
        records = [
            record for record in shard_records() if record.service != 'shard-19'
        ]
        _, actions = start_run(
            make_rule(make_group(min_coverage=1)), tuple(records)
        )
        result = result_in(actions)
        assert isinstance(result, Refused)
        self.assertEqual(result.reason, GiveUpReason.NO_TARGET)

    def test_failure_is_not_merged(self) -> None:
        """A target's error is retried, not merged, even if it is signed."""
        sent = attempts_in(self._first)[0]
        again = self._run.on_outcome(
            sent.attempt,
            AttemptAnswered(make_answer(SERVER_ERROR)),
            0.01,
        )
        self.assertTrue(batches_in(again) or attempts_in(again))
