"""Tests of the life of one request."""

import itertools
import unittest

from oriolestage.relay._answers import (
    AttemptAnswered,
    AttemptLost,
    AttemptNotRun,
    Delivered,
    Failed,
    Gathered,
    GiveUpReason,
    NotRunReason,
    Refused,
)
from oriolestage.relay._extra_budget import BudgetBounds, ExtraBudget
from oriolestage.relay._placement import Placement
from oriolestage.relay._placement_types import Wanted
from oriolestage.relay._request_run import RequestRun
from oriolestage.relay._rules import RouteRule, ShardGroup
from oriolestage.relay._run_types import (
    Action,
    BatchAnswered,
    BatchDeclined,
    BatchLost,
    CancelAttempt,
    Finish,
    PartRequest,
    RunTimes,
    SendAttempt,
    SendBatch,
)
from oriolestage.relay._targets import TargetRecord
from oriolestage.relay.tests.builders import (
    make_answer,
    make_group,
    make_peers,
    make_placement,
    make_record,
    make_rule,
    shard_records,
)

#: Answer of a target that failed.
SERVER_ERROR = 500


def _start(
    rule: RouteRule,
    records: tuple[TargetRecord, ...],
    bounds: BudgetBounds | None = None,
    known: Placement | None = None,
) -> tuple[RequestRun, list[Action]]:
    placement = known or make_placement('dc-a', records)[0]
    names: tuple[str, ...] = ('shard-0',)
    if isinstance(rule.destination, ShardGroup):
        names = rule.destination.services
    numbers = itertools.count(1)
    run = RequestRun(
        rule=rule,
        parts=tuple(
            PartRequest(
                Wanted(name, rule.name),
                ExtraBudget(bounds or BudgetBounds(), -60),
            )
            for name in names
        ),
        times=RunTimes(0, rule.objective_s, rule.time_limit_s),
        placement=placement,
        peers=make_peers(placement.place),
        next_attempt=lambda: next(numbers),
    )
    return run, run.start(0)


def _sends(actions: list[Action]) -> list[SendAttempt]:
    return [action for action in actions if isinstance(action, SendAttempt)]


def _batches(actions: list[Action]) -> list[SendBatch]:
    return [action for action in actions if isinstance(action, SendBatch)]


def _verdict(actions: list[Action]) -> object:
    for action in actions:
        if isinstance(action, Finish):
            return action.verdict
    return None


def _three() -> tuple[TargetRecord, ...]:
    return (make_record('t-1'), make_record('t-2'), make_record('t-3'))


class SingleServiceTest(unittest.TestCase):
    """Requests to one target of one service."""

    def test_answer_is_delivered(self) -> None:
        """Success and the caller's own faults are passed on as they are."""
        for status in (200, 404):
            run, actions = _start(make_rule(), _three())
            answer = make_answer(status)
            ended = run.on_outcome(
                _sends(actions)[0].attempt,
                AttemptAnswered(answer),
                0.02,
            )
            with self.subTest(status=status):
                self.assertEqual(_verdict(ended), Delivered(answer))

    def test_not_run_goes_elsewhere(self) -> None:
        """Any request may be sent again if it certainly did not run."""
        for reason in NotRunReason:
            run, actions = _start(make_rule(repeatable=False), _three())
            first = _sends(actions)[0]
            again = _sends(
                run.on_outcome(first.attempt, AttemptNotRun(reason), 0.01),
            )
            with self.subTest(reason=reason):
                self.assertEqual(len(again), 1)
                self.assertIsNot(again[0].target, first.target)

    def test_lost_is_not_repeated(self) -> None:
        """A request that must run once is not sent again after a loss."""
        run, actions = _start(make_rule(repeatable=False), _three())
        ended = run.on_outcome(
            _sends(actions)[0].attempt,
            AttemptLost('reset'),
            0.01,
        )
        self.assertEqual(_sends(ended), [])
        self.assertIsInstance(_verdict(ended), Failed)

    def test_failure_of_once_is_delivered(self) -> None:
        """The target's failure is the answer if it may not be repeated."""
        run, actions = _start(make_rule(repeatable=False), _three())
        failure = make_answer(SERVER_ERROR)
        ended = run.on_outcome(
            _sends(actions)[0].attempt,
            AttemptAnswered(failure),
            0.01,
        )
        self.assertEqual(_verdict(ended), Delivered(failure))

    def test_once_is_never_hedged(self) -> None:
        """Nothing is due before the deadline for a request that runs once."""
        run, _ = _start(make_rule(repeatable=False), _three())
        self.assertEqual(run.wake_at, make_rule().time_limit_s)

    def test_attempts_limit(self) -> None:
        """At most the allowed number of targets run a request."""
        run, actions = _start(make_rule(), _three())
        sent = _sends(actions)
        for _ in range(2):
            actions = run.on_outcome(
                sent[-1].attempt,
                AttemptLost('reset'),
                0.01,
            )
            sent.extend(_sends(actions))
        self.assertEqual(len(sent), 2)
        self.assertIsInstance(_verdict(actions), Failed)

    def test_late_attempt_is_hedged(self) -> None:
        """The first answer wins and the other attempt is stopped."""
        run, actions = _start(make_rule(), _three())
        first = _sends(actions)[0]
        due_at = run.wake_at
        self.assertLess(due_at, make_rule().objective_s)
        second = _sends(run.on_time(due_at))[0]
        self.assertTrue(second.hedge)
        ended = run.on_outcome(
            second.attempt,
            AttemptAnswered(make_answer()),
            due_at + 0.01,
        )
        self.assertIsInstance(_verdict(ended), Delivered)
        self.assertIn(CancelAttempt(first.attempt), ended)

    def test_no_budget_no_hedge(self) -> None:
        """Without extra attempts left none is sent."""
        empty = BudgetBounds(ratio=0, allowance=0)
        run, _ = _start(make_rule(), _three(), empty)
        self.assertEqual(_sends(run.on_time(run.wake_at)), [])

    def test_no_target_is_refused_at_once(self) -> None:
        """A service without targets is refused as not run."""
        _, actions = _start(make_rule(), ())
        verdict = _verdict(actions)
        self.assertIsInstance(verdict, Refused)
        if isinstance(verdict, Refused):
            self.assertGreater(verdict.retry_after_s, 0)

    def test_no_room_is_refused_soon(self) -> None:
        """A service whose targets are all busy is not waited for long."""
        rule = make_rule(repeatable=False)
        placement, directory = make_placement('dc-a', (make_record('t-1'),))
        target = directory.find('t-1')
        assert target is not None
        placement.seen.note_not_reached(target, 0, 0)
        run, actions = _start(rule, (make_record('t-1'),), None, placement)
        verdict = _verdict(actions)
        while verdict is None:
            now = run.wake_at
            self.assertLess(now, rule.objective_s)
            verdict = _verdict(run.on_time(now))
        self.assertIsInstance(verdict, Refused)

    def test_room_for_a_repeat_is_waited_for(self) -> None:
        """What may have run waits for room until its deadline."""
        rule = make_rule()
        placement, directory = make_placement('dc-a', (make_record('t-1'),))
        target = directory.find('t-1')
        assert target is not None
        run, actions = _start(rule, (make_record('t-1'),), None, placement)
        sent = _sends(actions)[0]
        placement.seen.note_not_reached(target, 0, 0.1)
        actions = run.on_outcome(sent.attempt, AttemptLost('reset'), 0.1)
        self.assertIsNone(_verdict(actions))
        while not _sends(actions):
            self.assertIsNone(_verdict(actions))
            actions = run.on_time(run.wake_at)

    def test_deadline(self) -> None:
        """At the deadline the request ends as one that may have run."""
        run, _ = _start(make_rule(repeatable=False), _three())
        verdict = _verdict(run.on_time(make_rule().time_limit_s))
        self.assertIsInstance(verdict, Failed)


class GatherTest(unittest.TestCase):
    """Queries over many shards."""

    def setUp(self) -> None:
        """Start a query with two thirds of its shards near."""
        self._rule = make_rule(make_group())
        self._run, self._first = _start(self._rule, shard_records())

    def _answer_near(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sent in _sends(self._first):
            actions = self._run.on_outcome(
                sent.attempt,
                AttemptAnswered(make_answer(signature=str(sent.attempt))),
                now,
            )
        return actions

    def _batch_reply(
        self,
        batch: SendBatch,
        lacking: frozenset[str] = frozenset(),
    ) -> BatchAnswered:
        names = [part.service for part in batch.parts]
        answered = {name: f'b-{name}' for name in names if name not in lacking}
        bodies = {} if batch.merged else dict.fromkeys(answered, b'b' * 16)
        return BatchAnswered(
            signatures=answered,
            body=b'b' * 16,
            bodies=bodies,
            failed=frozenset(),
            final=not lacking,
            work_s=0.01,
        )

    def test_far_shards_go_in_one_batch(self) -> None:
        """Shards without a near target share one request."""
        batches = _batches(self._first)
        self.assertEqual(len(batches), 1)
        self.assertTrue(batches[0].merged)
        near = _sends(self._first)
        self.assertEqual(len(near) + len(batches[0].parts), 20)

    def test_whole_answer(self) -> None:
        """All signatures are there once and nothing is missing."""
        self._answer_near(0.015)
        batch = _batches(self._first)[0]
        ended = self._run.on_batch(
            batch.batch,
            self._batch_reply(batch),
            0.06,
        )
        verdict = _verdict(ended)
        self.assertIsInstance(verdict, Gathered)
        if isinstance(verdict, Gathered):
            self.assertEqual(verdict.missing, 0)
            self.assertEqual(len(set(verdict.signatures)), 20)
            self.assertEqual(len(verdict.body), 5 * 16)

    def test_merged_shard_is_not_merged_again(self) -> None:
        """What a hedge gave gives way to records that hold the shard."""
        batch = _batches(self._first)[0]
        self._answer_near(0.015)
        hedges = self._run.on_time(self._run.wake_at)
        second = _batches(hedges)[0]
        self.assertFalse(second.merged)
        self._run.on_batch(second.batch, self._batch_reply(second), 0.1)
        ended = self._run.on_batch(
            batch.batch,
            self._batch_reply(batch),
            0.11,
        )
        verdict = _verdict(ended) or _verdict(
            self._run.on_time(self._rule.objective_s),
        )
        if isinstance(verdict, Gathered):
            self.assertEqual(len(set(verdict.signatures)), 20)

    def test_floor_outlives_a_hedge(self) -> None:
        """Records that may yet be taken out again do not raise the floor.

        A hedge answers a shard of a merged batch that has not come yet. Its
        records give way to those of the batch, so what other shards are asked
        for must not depend on them.
        """
        records = shard_records()
        placement, directory = make_placement(
            'dc-a',
            tuple(one for one in records if one.identity != 't-0-1'),
        )
        run, first = _start(self._rule, (), known=placement)
        lost: list[SendAttempt] = []
        for sent in _sends(first):
            if sent.target.record.service == 'shard-0':
                lost.append(sent)
                continue
            answered = AttemptAnswered(make_answer())
            run.on_outcome(sent.attempt, answered, 0.015)
        hedge = _batches(run.on_time(0.12))[0]
        hedged = hedge.parts[0].service
        run.on_batch(
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
        self.assertEqual(_batches(again)[0].floor, b'r' * 16)

    def test_late_shard_is_asked_elsewhere(self) -> None:
        """A shard that a host reports late goes to another region."""
        self._answer_near(0.015)
        batch = _batches(self._first)[0]
        late = batch.parts[0].service
        actions = self._run.on_batch(
            batch.batch,
            self._batch_reply(batch, frozenset((late,))),
            0.06,
        )
        again = _batches(actions)
        self.assertEqual([part.service for part in again[0].parts], [late])
        self.assertNotEqual(again[0].regions, batch.regions)
        self.assertFalse(again[0].merged)

    def test_late_shard_follows(self) -> None:
        """Without budget a late shard is waited for, not given up."""
        rule = make_rule(make_group(least=1), objective_s=0.1)
        empty = BudgetBounds(ratio=0, allowance=0)
        self._run, self._first = _start(rule, shard_records(), empty)
        self._answer_near(0.015)
        batch = _batches(self._first)[0]
        late = batch.parts[0].service
        actions = self._run.on_batch(
            batch.batch,
            self._batch_reply(batch, frozenset((late,))),
            0.06,
        )
        self.assertIsNone(_verdict(actions))
        rest = BatchAnswered(
            signatures={late: 'late'},
            body=b'',
            bodies={late: b'l' * 16},
            failed=frozenset(),
            final=True,
            work_s=0.01,
        )
        verdict = _verdict(self._run.on_batch(batch.batch, rest, 0.3))
        self.assertIsInstance(verdict, Gathered)
        if isinstance(verdict, Gathered):
            self.assertEqual(verdict.missing, 0)

    def test_no_room_anywhere(self) -> None:
        """Hosts that have no room do not get the shard for ever."""
        rule = make_rule(make_group(least=1))
        self._run, self._first = _start(rule, shard_records())
        self._answer_near(0.015)
        batches = _batches(self._first)
        verdict: object = None
        for step in range(40):
            now = 0.06 + step * 0.05
            actions: list[Action] = []
            for batch in batches:
                names = frozenset(part.service for part in batch.parts)
                refusal = BatchDeclined(
                    dict.fromkeys(names, 0.01),
                    final=True,
                )
                actions += self._run.on_batch(batch.batch, refusal, now)
            actions += self._run.on_time(now)
            verdict = verdict or _verdict(actions)
            batches = _batches(actions)
        self.assertIsNotNone(verdict)
        self.assertLess(self._run.sends, 100)

    def test_declined(self) -> None:
        """A declined shard goes elsewhere at once and is not sent back."""
        self._answer_near(0.015)
        batch = _batches(self._first)[0]
        declined = batch.parts[0].service
        actions = self._run.on_batch(
            batch.batch,
            BatchDeclined({declined: 0.01}, final=False),
            0.025,
        )
        again = _batches(actions)
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
        """A batch that was lost is sent again, and the host left alone."""
        self._answer_near(0.015)
        batch = _batches(self._first)[0]
        actions = self._run.on_batch(
            batch.batch,
            BatchLost('reset', not_sent=True),
            0.05,
        )
        self.assertTrue(_batches(actions) or _sends(actions))
        for again in _batches(actions):
            self.assertNotEqual(again.peer.name, batch.peer.name)

    def test_cut_off_before_objective(self) -> None:
        """Enough shards are answered before the objective, not after it."""
        self._answer_near(0.015)
        batch = _batches(self._first)[0]
        lacking = frozenset(part.service for part in batch.parts[:2])
        self._run.on_batch(
            batch.batch,
            self._batch_reply(batch, lacking),
            0.06,
        )
        verdict: object = None
        while verdict is None:
            now = self._run.wake_at
            verdict = _verdict(self._run.on_time(now))
        self.assertLess(now, self._rule.objective_s)
        self.assertIsInstance(verdict, Gathered)
        if isinstance(verdict, Gathered):
            self.assertEqual(verdict.missing, 2)

    def test_too_few_shards_possible(self) -> None:
        """A query that cannot reach its coverage is refused at once."""
        records = tuple(
            record
            for record in shard_records()
            if record.service not in {'shard-0', 'shard-1', 'shard-2'}
        )
        _, actions = _start(self._rule, records)
        self.assertIsInstance(_verdict(actions), Refused)
        self.assertEqual(_sends(actions), [])

    def test_cause_of_refusal(self) -> None:
        """A refusal names the shard that cannot be answered."""
        records = [
            record for record in shard_records() if record.service != 'shard-19'
        ]
        _, actions = _start(make_rule(make_group(least=1)), tuple(records))
        verdict = _verdict(actions)
        assert isinstance(verdict, Refused)
        self.assertEqual(verdict.reason, GiveUpReason.NO_TARGET)

    def test_failure_is_no_shard(self) -> None:
        """A target's failure is not merged, even if it is signed."""
        sent = _sends(self._first)[0]
        again = self._run.on_outcome(
            sent.attempt,
            AttemptAnswered(make_answer(SERVER_ERROR)),
            0.01,
        )
        self.assertTrue(_batches(again) or _sends(again))
