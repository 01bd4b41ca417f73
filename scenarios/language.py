"""Parser of scenario files."""

import dataclasses
import functools
from importlib import resources
from pathlib import Path
from typing import Any

from lark import Lark, Transformer, v_args

from scenarios.steps import (
    CrashRequest,
    Cut,
    Freeze,
    Heal,
    InForceEverywhere,
    Kill,
    LatencyBelow,
    MaxCrashed,
    MinShare,
    NoWork,
    Operate,
    OperatorOutcome,
    RefusalsWithin,
    Scenario,
    Start,
    Step,
    Stop,
    StoreFault,
    TargetEvent,
    TargetKeys,
    TargetSign,
    TargetVersions,
    Thaw,
)

#: Entry hosts of a scenario without a ``hosts`` line.
DEFAULT_HOSTS = 6
#: Services in each query group of a scenario without a ``services`` line.
DEFAULT_SERVICES = 4


def load_scenario(path: Path) -> Scenario:
    """Parse a scenario file."""
    return parse_scenario(path.read_text('utf-8'))


def parse_scenario(text: str) -> Scenario:
    """Parse the text of a scenario.

    Raise ``LarkError`` on a syntax error.
    """
    return _ScenarioBuilder().transform(_parser().parse(f'{text}\n'))


@functools.cache
def _parser() -> Lark:
    grammar = resources.files('scenarios').joinpath('_grammar.lark')
    return Lark(grammar.read_text('utf-8'), parser='earley')


def _seconds(token) -> float:
    if token.endswith('ms'):
        return float(token[:-2]) / 1000
    return float(token[:-1])


@dataclasses.dataclass(frozen=True, slots=True)
class _Setting:
    """A setting line of a scenario, such as the number of hosts."""

    name: str
    setting: Any


@v_args(inline=True)
class _ScenarioBuilder(Transformer):
    """Builds a scenario from a parse tree.

    Methods are named after rules of the grammar.
    """

    def start(self, *statements):
        settings = {
            part.name: part.setting
            for part in statements
            if isinstance(part, _Setting)
        }
        return Scenario(
            users=settings.get('users', ('association',)),
            services=settings.get('services') or DEFAULT_SERVICES,
            hosts=settings.get('hosts', DEFAULT_HOSTS),
            rate=settings.get('rate', 0),
            load_kind=settings.get('load_kind', ''),
            switched_off=(),
            steps=tuple(part for part in statements if isinstance(part, Step)),
            end_s=settings['end'],
            expectations=tuple(
                part
                for part in statements
                if not isinstance(part, Step | _Setting)
            ),
        )

    def shape(self, *parts):
        return _Setting('users', tuple(str(user) for user in parts))

    def services(self, count):
        return _Setting('services', int(count))

    def hosts(self, count):
        return _Setting('hosts', int(count))

    def load(self, rate):
        return _Setting('rate', int(rate))

    def load_kind(self, kind):
        return _Setting('load_kind', str(kind))

    def end(self, at):
        return _Setting('end', _seconds(at))

    def step(self, at, action):
        return Step(_seconds(at), action)

    def kill(self, name):
        return Kill(str(name))

    def begin(self, name):
        return Start(str(name))

    def stop(self, name):
        return Stop(str(name))

    def freeze(self, name):
        return Freeze(str(name))

    def thaw(self, name):
        return Thaw(str(name))

    def cut(self, one, other, one_way):
        return Cut(str(one), str(other), one_way is not None)

    def heal(self, one, other):
        return Heal(str(one), str(other))

    def store(self, *parts):
        match [str(part) for part in parts]:
            case ['down']:
                return StoreFault(down=True)
            case ['slow', duration]:
                return StoreFault(slow_s=_seconds(duration))
            case [count] if count.isdigit():
                return StoreFault(lose_replies=int(count))
        return StoreFault()

    def target_change(self, *parts):
        return parts

    def target(self, name, parts):
        first = str(parts[0])
        if '-' in first and first[0].isdigit():
            start, end = first.split('-')
            return TargetKeys(str(name), int(start), int(end), int(parts[1]))
        if first.isdigit():
            versions = tuple(int(part) for part in parts)
            return TargetVersions(str(name), versions)
        return TargetEvent(str(name), TargetSign(first))

    def operate(self, command, through, operator):
        return Operate(
            str(command).strip('"'),
            str(through or ''),
            str(operator or 'operator'),
        )

    def crash(self, times):
        return CrashRequest(int(times))

    def expect(self, expectation):
        return expectation

    def quiet(self, name, from_s, to_s):
        end = _seconds(to_s) if to_s else float('inf')
        return NoWork(str(name), _seconds(from_s), end)

    def crashed(self, count):
        return MaxCrashed(int(count))

    def refusals(self, bound):
        return RefusalsWithin(_seconds(bound))

    def latency(self, percentile, bound):
        return LatencyBelow(int(percentile), _seconds(bound))

    def share(self, percent, outcome, from_s, to_s):
        start = _seconds(from_s) if from_s else 0
        end = _seconds(to_s) if to_s else float('inf')
        return MinShare(int(percent), str(outcome), start, end)

    def in_force(self, revision):
        return InForceEverywhere(int(revision))

    def outcome(self, operator, *outcomes):
        names = tuple(str(outcome) for outcome in outcomes)
        return OperatorOutcome(str(operator), names)
