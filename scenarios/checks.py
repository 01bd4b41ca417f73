"""Checks guarantees and expectations against observations of a run."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from scenarios.observations import Observations
from scenarios.steps import (
    Expectation,
    InForceEverywhere,
    LatencyBelow,
    MaxCrashed,
    MinShare,
    NoWork,
    OperatorOutcome,
    RefusalsWithin,
    Scenario,
)


def find_violations(
    scenario: Scenario, observations: Observations
) -> list[str]:
    """Return a message for each violated guarantee or expectation.

    The guarantees hold in every scenario; expectations belong to one.
    """
    violations = [
        *_wrong_answers(observations),
        *_false_refusals(observations),
        *_duplicate_runs(observations),
        *_overloads(observations),
        *_reverted_revisions(observations),
        *_conflicting_revisions(observations),
        *_cut_requests(observations),
    ]
    for expectation in scenario.expectations:
        violations.extend(_check_expectation(expectation, observations))
    return violations


def _wrong_answers(observations: Observations) -> Iterator[str]:
    for answer in observations.answers:
        if answer.result.outcome in {'wrong', 'failed'}:
            yield (
                f'{answer.request_id}: {answer.result.outcome}: '
                f'{answer.result.detail}'
            )


def _false_refusals(observations: Observations) -> Iterator[str]:
    ran = {run.request_id: run.target for run in observations.runs}
    for answer in observations.answers:
        if answer.result.outcome != 'not_run':
            continue
        target = ran.get(answer.request_id)
        if target is not None:
            yield (
                f'{answer.request_id}: not_run ({answer.result.detail}), '
                f'but {target} ran it'
            )


def _duplicate_runs(observations: Observations) -> Iterator[str]:
    counts = Counter(run.booking for run in observations.runs if run.booking)
    for booking, count in counts.items():
        if count > 1:
            yield f'booking {booking} ran {count} times'


def _overloads(observations: Observations) -> Iterator[str]:
    for overload in observations.slot_overloads:
        yield (
            f'{overload.target} had {overload.in_flight} in flight at '
            f'{overload.at:.3f} s with {overload.capacity} slots'
        )
    for overload in observations.cold_overloads:
        yield (
            f'cold {overload.target} had {overload.in_flight} in flight at '
            f'{overload.at:.3f} s with capacity {overload.capacity}'
        )


def _reverted_revisions(observations: Observations) -> Iterator[str]:
    highest: dict[str, int] = defaultdict(int)
    for entry in observations.revisions:
        if entry.revision < highest[entry.process]:
            yield f'{entry.process} reverted to revision {entry.revision}'
        highest[entry.process] = entry.revision


def _conflicting_revisions(observations: Observations) -> Iterator[str]:
    commands: dict[int, str] = {}
    for entry in observations.revisions:
        if not entry.command_id:
            continue
        first = commands.setdefault(entry.revision, entry.command_id)
        if first != entry.command_id:
            yield f'revision {entry.revision} has two different changes'


def _cut_requests(observations: Observations) -> Iterator[str]:
    if observations.cut_by_stop:
        yield f'planned stops cut off {observations.cut_by_stop} requests'


def _check_expectation(
    expectation: Expectation, observations: Observations
) -> Iterator[str]:
    match expectation:
        case NoWork():
            yield from _forbidden_work(expectation, observations)
        case MinShare():
            yield from _low_share(expectation, observations)
        case InForceEverywhere(revision=revision):
            for host, final_revision in observations.final_revisions.items():
                if final_revision != revision:
                    yield f'{host} ended at revision {final_revision}, not {revision}'
        case MaxCrashed(count=count):
            if len(observations.crashed) > count:
                yield f'{len(observations.crashed)} targets crashed, allowed: {count}'
        case RefusalsWithin(bound_s=bound_s):
            yield from _slow_refusals(bound_s, observations)
        case LatencyBelow():
            yield from _high_latency(expectation, observations)
        case OperatorOutcome(operator=operator, outcomes=expected):
            outcomes = [
                answer.outcome
                for answer in observations.operator_answers
                if answer.operator == operator
            ]
            if not set(expected).intersection(outcomes):
                yield f'{operator} got {outcomes}, expected one of {expected}'


def _forbidden_work(
    expectation: NoWork, observations: Observations
) -> Iterator[str]:
    for run in observations.received:
        if expectation.name not in {run.target, run.data_centre}:
            continue
        if expectation.from_s <= run.at <= expectation.to_s:
            yield f'{run.target} received work at {run.at:.3f} s'


def _low_share(
    expectation: MinShare, observations: Observations
) -> Iterator[str]:
    outcomes = [
        answer.result.outcome
        for answer in observations.answers
        if expectation.from_s <= answer.sent_at <= expectation.to_s
        and bool(answer.booking) == (expectation.outcome == 'command_answer')
    ]
    if not outcomes:
        yield f'no answers to measure the share of {expectation.outcome}'
        return
    share = 100 * outcomes.count(expectation.outcome) / len(outcomes)
    if share < expectation.percent:
        counts = dict(Counter(outcomes))
        yield f'{expectation.outcome} in {share:.1f} % of answers: {counts}'


def _high_latency(
    expectation: LatencyBelow,
    observations: Observations,
) -> Iterator[str]:
    latencies = sorted(
        answer.result.latency_s
        for answer in observations.answers
        if answer.result.outcome in {'whole', 'partial'}
    )
    index = len(latencies) * expectation.percentile // 100
    if not latencies or latencies[index] >= expectation.bound_s:
        measured = latencies[index] if latencies else 0
        yield f'percentile {expectation.percentile} is {measured:.3f} s'


def _slow_refusals(bound_s: float, observations: Observations) -> Iterator[str]:
    for answer in observations.answers:
        result = answer.result
        if result.detail != 'overloaded':
            continue
        if result.latency_s > bound_s:
            yield f'{answer.request_id} was refused after {result.latency_s} s'
        if not result.retry_after_ms:
            yield f'{answer.request_id} was refused without a retry time'
