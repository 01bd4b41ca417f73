"""Tests of queries whose request has crashed a target before."""

import types
import unittest

import msgspec

from oriolestage.core import (
    AnswerCaller,
    CallerOutcome,
    CallerRequest,
    CallTarget,
    Configuration,
    KeyRange,
    NotRun,
    QueryAnswer,
    Reason,
    ReplaceDocument,
    TargetAnswered,
    TargetStatus,
)
from oriolestage.core.tests.builders import QUERY_ROUTE, small_configuration
from oriolestage.core.tests.nodes import (
    SimulatedNode,
    Timeline,
    document_record,
    encode_record,
    put_value,
)
from scenarios.fake_store import FakeStore

#: Key ranges of the shards in the tests, by service.
RANGES = types.MappingProxyType(
    {
        'search-0': KeyRange(0, 20_000),
        'search-1': KeyRange(20_000, 40_000),
        'search-2': KeyRange(40_000, 65_536),
    }
)


class CanaryTest(unittest.TestCase):
    """The first shard that has a target is sent alone, then the others."""

    def setUp(self) -> None:
        """Start a host and a request that has crashed one target."""
        self.request = CallerRequest(
            'request-1', 'caller', QUERY_ROUTE, b'{}', 1000, ''
        )

    def test_first_shards_without_target(self) -> None:
        """Guards against a query that ends although other shards can answer.

        It ended at once, and with the reason of the shards not sent.
        """
        cases = (
            ('first', ('search-0',)),
            ('first two', ('search-0', 'search-1')),
            ('second', ('search-1',)),
            ('last', ('search-2',)),
        )
        for name, without in cases:
            with self.subTest(name):
                outcome = self._run(without)
                assert isinstance(outcome, QueryAnswer)
                lacking = {failure.peer for failure in outcome.lacking}
                self.assertEqual(lacking, set(without))
                reasons = {failure.reason for failure in outcome.lacking}
                self.assertEqual(reasons, {Reason.NO_TARGET})

    def test_no_shard_has_a_target(self) -> None:
        """The reason is that there is no target, with a retry delay."""
        outcome = self._run(tuple(RANGES))
        assert isinstance(outcome, NotRun)
        self.assertIs(outcome.reason, Reason.NO_TARGET)
        self.assertEqual(outcome.retry_after_ms, 1000)

    def test_one_at_a_time(self) -> None:
        """Only one shard is sent until one has answered."""
        node, timeline = self._start(('search-0',))
        node.core.on_caller_request(timeline.now, self.request)
        node.execute_effects()
        sent = [call.target.service for call in self._calls(node)]
        self.assertEqual(sent, ['search-1'])

    def _run(self, without: tuple[str, ...]) -> CallerOutcome:
        """Run the query while services have no target; return its outcome."""
        node, timeline = self._start(without)
        node.core.on_caller_request(timeline.now, self.request)
        node.execute_effects()
        answered: set[int] = set()
        for _ in RANGES:
            for call in self._calls(node):
                if call.call not in answered:
                    answered.add(call.call)
                    self._answer(node, timeline, call)
        outcomes = [
            effect.outcome
            for _, effect in node.effects
            if isinstance(effect, AnswerCaller)
        ]
        self.assertEqual(len(outcomes), 1)
        return outcomes[0]

    def _start(
        self, without: tuple[str, ...]
    ) -> tuple[SimulatedNode, Timeline]:
        timeline = Timeline()
        store = FakeStore(timeline.call_later)
        change = ReplaceDocument(_document(without))
        record = msgspec.structs.replace(document_record(1), change=change)
        key = 'config/revision/0000000001'
        put_value(store, key, encode_record(record), 0)
        node = SimulatedNode.build(timeline, store)
        timeline.run_for(2)
        crashes = node.core._parts.crashes
        crashes.record_crash(self.request.fingerprint, 'crashed')
        return node, timeline

    def _calls(self, node: SimulatedNode) -> list[CallTarget]:
        return [
            effect
            for _, effect in node.effects
            if isinstance(effect, CallTarget)
        ]

    def _answer(
        self, node: SimulatedNode, timeline: Timeline, call: CallTarget
    ) -> None:
        status = TargetStatus('p', leaving=False, cold=False, versions=(1,))
        covered = RANGES[call.target.service]
        answer = TargetAnswered(status, 1, covered, 1, b'[]')
        node.core.on_target_result(timeline.now, call.call, answer)
        node.execute_effects()


def _document(without: tuple[str, ...]) -> Configuration:
    """Build a document in which services have no accepting target."""
    document = small_configuration(services=len(RANGES))
    targets = tuple(
        msgspec.structs.replace(target, accepting=target.service not in without)
        for target in document.targets
    )
    return msgspec.structs.replace(document, targets=targets)
