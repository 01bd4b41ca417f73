"""Checks of promises against what callers got and targets saw."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from scenarios.observations import Observations
from scenarios.steps import (
    Expectation,
    InForceEverywhere,
    LatencyBelow,
    LeastShare,
    MostCrashed,
    NoWork,
    OperatorGets,
    RefusalsWithin,
    Scenario,
)


def find_violations(scenario: Scenario, seen: Observations) -> list[str]:
    """Give a line for each broken promise and expectation."""
    violations = [
        *_wrong_answers(seen),
        *_untrue_refusals(seen),
        *_repeated_runs(seen),
        *_overloads(seen),
        *_reverted_revisions(seen),
        *_split_history(seen),
        *_cut_requests(seen),
    ]
    for expectation in scenario.expectations:
        violations.extend(_unmet(expectation, seen))
    return violations


def _wrong_answers(seen: Observations) -> Iterator[str]:
    for answer in seen.answers:
        if answer.served.outcome in {'wrong', 'failed'}:
            yield (
                f'{answer.request_id}: {answer.served.outcome}: '
                f'{answer.served.detail}'
            )


def _untrue_refusals(seen: Observations) -> Iterator[str]:
    ran = {run.request_id: run.target for run in seen.runs}
    for answer in seen.answers:
        if answer.served.outcome != 'not_run':
            continue
        target = ran.get(answer.request_id)
        if target is not None:
            yield (
                f'{answer.request_id}: not_run ({answer.served.detail}), '
                f'but {target} ran it'
            )


def _repeated_runs(seen: Observations) -> Iterator[str]:
    counts = Counter(run.booking for run in seen.runs if run.booking)
    for booking, count in counts.items():
        if count > 1:
            yield f'booking {booking} ran {count} times'


def _overloads(seen: Observations) -> Iterator[str]:
    for overload in seen.slot_overloads:
        yield (
            f'{overload.target} got {overload.in_flight} at once at '
            f'{overload.at:.3f} s and has {overload.carries} slots'
        )
    for overload in seen.cold_overloads:
        yield (
            f'cold {overload.target} got {overload.in_flight} at once at '
            f'{overload.at:.3f} s and carries {overload.carries}'
        )


def _reverted_revisions(seen: Observations) -> Iterator[str]:
    highest: dict[str, int] = defaultdict(int)
    for entry in seen.revisions:
        if entry.revision < highest[entry.process]:
            yield f'{entry.process} went back to revision {entry.revision}'
        highest[entry.process] = entry.revision


def _split_history(seen: Observations) -> Iterator[str]:
    commands: dict[int, str] = {}
    for entry in seen.revisions:
        if not entry.command_id:
            continue
        first = commands.setdefault(entry.revision, entry.command_id)
        if first != entry.command_id:
            yield f'revision {entry.revision} holds two different changes'


def _cut_requests(seen: Observations) -> Iterator[str]:
    if seen.cut_by_stop:
        yield f'planned stops cut {seen.cut_by_stop} requests'


def _unmet(expectation: Expectation, seen: Observations) -> Iterator[str]:
    match expectation:
        case NoWork():
            yield from _late_work(expectation, seen)
        case LeastShare():
            yield from _low_share(expectation, seen)
        case InForceEverywhere(revision=revision):
            for host, held in seen.final_revisions.items():
                if held != revision:
                    yield f'{host} ends at revision {held}, not {revision}'
        case MostCrashed(count=count):
            if len(seen.crashed) > count:
                yield f'{len(seen.crashed)} targets crashed, not {count}'
        case RefusalsWithin(bound_s=bound_s):
            yield from _late_refusals(bound_s, seen)
        case LatencyBelow():
            yield from _high_latency(expectation, seen)
        case OperatorGets(operator=operator, outcomes=wanted):
            outcomes = [
                answer.outcome
                for answer in seen.operators
                if answer.operator == operator
            ]
            if not set(wanted).intersection(outcomes):
                yield f'{operator} got {outcomes}, not {wanted}'


def _late_work(expectation: NoWork, seen: Observations) -> Iterator[str]:
    for run in seen.received:
        if expectation.name not in {run.target, run.data_centre}:
            continue
        if expectation.from_s <= run.at <= expectation.to_s:
            yield f'{run.target} got new work at {run.at:.3f} s'


def _low_share(expectation: LeastShare, seen: Observations) -> Iterator[str]:
    outcomes = [
        answer.served.outcome
        for answer in seen.answers
        if expectation.from_s <= answer.sent_at <= expectation.to_s
        and bool(answer.booking) == (expectation.outcome == 'command_answer')
    ]
    if not outcomes:
        yield f'no answers to judge the share of {expectation.outcome}'
        return
    share = 100 * outcomes.count(expectation.outcome) / len(outcomes)
    if share < expectation.percent:
        counts = dict(Counter(outcomes))
        yield f'{expectation.outcome} in {share:.1f} % of answers: {counts}'


def _high_latency(
    expectation: LatencyBelow,
    seen: Observations,
) -> Iterator[str]:
    latencies = sorted(
        answer.served.latency_s
        for answer in seen.answers
        if answer.served.outcome in {'whole', 'partial'}
    )
    place = len(latencies) * expectation.percentile // 100
    if not latencies or latencies[place] >= expectation.bound_s:
        measured = latencies[place] if latencies else 0
        yield f'percentile {expectation.percentile} is {measured:.3f} s'


def _late_refusals(bound_s: float, seen: Observations) -> Iterator[str]:
    for answer in seen.answers:
        served = answer.served
        if served.detail != 'overloaded':
            continue
        if served.latency_s > bound_s:
            yield f'{answer.request_id} was refused after {served.latency_s} s'
        if not served.retry_after_ms:
            yield f'{answer.request_id} was not told when to come back'
