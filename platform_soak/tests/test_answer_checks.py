"""Tests of the checks of runs and answers."""

from unittest import TestCase

from platform_soak.answers import answer_body
from platform_soak.configurations import BOOKING_SERVICE
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import (
    BOOKING,
    DESK,
    LOG,
    LOOKUP,
    OTHER_DESK,
    HistoryBuilder,
    answer_of,
)


def _ran_twice(history: HistoryBuilder) -> None:
    history.run(history.serve(), OTHER_DESK, after_s=0.2)


def _repeatable_ran_twice(history: HistoryBuilder) -> None:
    history.run(history.serve(LOOKUP, LOG), LOG, after_s=0.2)


def _sent_twice_and_rejected_once(history: HistoryBuilder) -> None:
    history.reach(history.serve(), OTHER_DESK)


def _refused_and_ran(history: HistoryBuilder) -> None:
    history.run(history.add_call(status=503))


def _refused_and_ran_later(history: HistoryBuilder) -> None:
    history.run(history.add_call(status=429, lasts_s=0.1), after_s=5)


def _refused(history: HistoryBuilder) -> None:
    history.reach(history.add_call(status=503))


def _failed_and_ran(history: HistoryBuilder) -> None:
    history.run(history.add_call(status=502))


def _repeatable_refused_and_ran(history: HistoryBuilder) -> None:
    history.run(history.add_call(LOOKUP, status=503), LOG)


def _ran_what_nobody_sent(history: HistoryBuilder) -> None:
    history.run(history.add_call())
    history.calls[0].attempt = 'other'


def _ran_another_path(history: HistoryBuilder) -> None:
    call = history.add_call(status=504)
    history.run(call, path='/book/2')


def _ran_at_another_service(history: HistoryBuilder) -> None:
    history.run(history.add_call(status=504), LOG)


def _served(history: HistoryBuilder) -> None:
    history.serve()
    history.serve(LOOKUP, LOG)


def _without_signature(history: HistoryBuilder) -> None:
    answer_of(history.serve()).headers.clear()


def _signature_of_another(history: HistoryBuilder) -> None:
    first, second = history.serve(), history.serve()
    answer_of(first).headers.update(answer_of(second).headers)


def _half_a_body(history: HistoryBuilder) -> None:
    call = history.serve()
    history.answer(call, answer_of(call).headers, answer_of(call).body[:9])


def _answer_to_another(history: HistoryBuilder) -> None:
    answer_of(history.serve()).headers['attempt-id'] = 'other'


def _empty_success(history: HistoryBuilder) -> None:
    history.answer(history.serve(), {}, status=204)


def _failure_made_a_success(history: HistoryBuilder) -> None:
    call = history.serve()
    history.add_event(
        'broken',
        call.last_sent_at,
        attempt=call.attempt,
        server=DESK,
        way='status_500',
    )


def _failure_with_signature(history: HistoryBuilder) -> None:
    call = history.add_call(status=504)
    history.run(call)
    history.answer(call, {'server-stamp': history.finish(call)}, status=504)


def _own_failure(history: HistoryBuilder) -> None:
    history.run(history.add_call(status=504))


def _no_answer_at_all(history: HistoryBuilder) -> None:
    history.add_call(problem='malformed', lasts_s=0.1)


def _broken_off_by_the_target(history: HistoryBuilder) -> None:
    call = history.add_call(problem='malformed')
    history.run(call)
    history.add_event(
        'broken',
        call.last_sent_at,
        attempt=call.attempt,
        server=DESK,
        way='garbage',
    )


def _gathered(history: HistoryBuilder) -> None:
    history.gather()
    history.gather(3)


def _gathered_too_little(history: HistoryBuilder) -> None:
    history.gather(2)


def _one_part_twice(history: HistoryBuilder) -> None:
    headers = answer_of(history.gather(5)).headers
    first = headers['part-stamps'].split(',')[0]
    headers['part-stamps'] += f', {first}'


def _unknown_part(history: HistoryBuilder) -> None:
    answer_of(history.gather(5)).headers['part-stamps'] += ', other'


def _parts_do_not_add_up(history: HistoryBuilder) -> None:
    answer_of(history.gather(5)).headers['missing-shards'] = '0'


def _missing_is_no_number(history: HistoryBuilder) -> None:
    answer_of(history.gather()).headers['missing-shards'] = 'none'


def _no_parts(history: HistoryBuilder) -> None:
    answer_of(history.gather()).headers.pop('part-stamps')


def _other_records(history: HistoryBuilder) -> None:
    call = history.gather()
    body = answer_of(call).body
    history.answer(call, answer_of(call).headers, body[16:] + body[:16])


class TestRunChecks(TestCase):
    def test_runs_are_counted_by_the_rules(self):
        # A check that misses a run lets double bookings pass.
        assert_verdicts(
            self,
            (
                Case(_ran_twice, ('TWICE',)),
                Case(_repeatable_ran_twice),
                Case(_sent_twice_and_rejected_once),
                Case(_refused_and_ran, ('REFUSED',)),
                Case(_refused_and_ran_later, ('REFUSED',)),
                Case(_refused),
                Case(_failed_and_ran),
                Case(_repeatable_refused_and_ran),
                Case(_ran_what_nobody_sent, ('UNASKED',)),
                Case(_ran_another_path, ('UNASKED',)),
                Case(_ran_at_another_service, ('ROUTE', 'CONFIG')),
            ),
        )


class TestAnswerChecks(TestCase):
    def test_answers_are_compared_with_runs(self):
        # A check that misses an answer lets callers get those of others.
        assert_verdicts(
            self,
            (
                Case(_served),
                Case(_without_signature, ('MIXED',)),
                Case(_signature_of_another, ('MIXED',)),
                Case(_half_a_body, ('MIXED',)),
                Case(_answer_to_another, ('MIXED',)),
                Case(_empty_success, ('MIXED',)),
                Case(_failure_made_a_success, ('MIXED',)),
                Case(_failure_with_signature, ('MIXED',)),
                Case(_own_failure),
                Case(_no_answer_at_all, ('MIXED',)),
                Case(_broken_off_by_the_target),
            ),
        )

    def test_gathered_answers_are_compared_with_parts(self):
        # Parts that are missing or doubled change what callers find.
        assert_verdicts(
            self,
            (
                Case(_gathered),
                Case(_gathered_too_little, ('MIXED',)),
                Case(_one_part_twice, ('MIXED',)),
                Case(_unknown_part, ('MIXED',)),
                Case(_parts_do_not_add_up, ('MIXED',)),
                Case(_missing_is_no_number, ('MIXED',)),
                Case(_no_parts, ('MIXED',)),
                Case(_other_records, ('MIXED',)),
            ),
        )

    def test_bodies_differ_by_attempt(self):
        # Equal bodies would hide an answer to another caller.
        bodies = {
            answer_body(BOOKING, attempt, BOOKING_SERVICE)
            for attempt in ('a', 'b')
        }
        self.assertEqual(len(bodies), 2)
