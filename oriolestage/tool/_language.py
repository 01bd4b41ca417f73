"""Parser of the operator command language, defined in ``_grammar.lark``."""

import functools
from importlib import resources
from pathlib import Path

from lark import Lark, Token, Transformer
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedEOF,
    UnexpectedInput,
    UnexpectedToken,
    VisitError,
)

from oriolestage.core import (
    AnswerPolicy,
    Change,
    MalformedError,
    PutRoute,
    RemoveRoute,
    Route,
    RouteKind,
    SetDataCentreAccepting,
    SetServiceAccepting,
    SetTargetAccepting,
    SetTargetLimits,
    parse_count,
)
from oriolestage.tool._commands import (
    ApplyFile,
    CheckFile,
    Command,
    Compare,
    Condition,
    Help,
    MakeChange,
    Show,
    Watch,
)
from oriolestage.tool._errors import CommandSyntaxError

#: Milliseconds in each unit of a duration.
_MS_PER_UNIT = (('ms', 1), ('min', 60_000), ('s', 1000))
#: Descriptions of terminals in error messages; the others are keywords.
_TERMINAL_DESCRIPTIONS = (
    ('WORD', 'a name'),
    ('INT', 'a number'),
    ('DURATION', 'a duration such as 500ms'),
    ('PATH', 'a file path such as ./routes.yaml'),
    ('EQUAL', '"="'),
    ('$END', 'the end of the command'),
)

#: Text that the command ``help`` prints.
HELP_TEXT = """\
show targets|datacentres|services|hosts|routes|requests|configuration|history
     [where FIELD = VALUE [and FIELD = VALUE]] [last N]
take out datacentre|service|target NAME [confirm]
bring back datacentre|service|target NAME
add route NAME to GROUP [kind query|command] [policy whole|latency]
     [timeout DURATION] [answer by DURATION]
remove route NAME
set limit TARGET slots N connections N
watch [revision N] [for DURATION]
compare N with M
check FILE
apply FILE
"""


def parse_command(text: str) -> Command:
    """Parse one command; raise :class:`CommandSyntaxError` if malformed."""
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        raise CommandSyntaxError(_describe_syntax_error(text, error)) from error
    try:
        return _CommandBuilder().transform(tree)
    except VisitError as error:
        if isinstance(error.orig_exc, CommandSyntaxError):
            raise error.orig_exc from error
        raise


@functools.cache
def _parser() -> Lark:
    folder = resources.files('oriolestage.tool')
    grammar = folder.joinpath('_grammar.lark').read_text('utf-8')
    return Lark(grammar, parser='lalr', maybe_placeholders=True)


def _describe_syntax_error(text: str, error: UnexpectedInput) -> str:
    position = len(text) if isinstance(error, UnexpectedEOF) else 0
    expected: set[str] = set()
    match error:
        case UnexpectedToken(token=token):
            at_end = token.type == '$END'
            position = len(text) if at_end else token.start_pos or 0
            expected = set(error.accepts or error.expected)
        case UnexpectedCharacters():
            position = error.pos_in_stream or 0
            expected = set(error.allowed or ())
    words = ', '.join(sorted(_describe_terminal(name) for name in expected))
    pointer = '^'.rjust(position + 1)
    return (
        f'{text}\n{pointer}\n'
        f'column {position + 1}: expected {words or "something else"}'
    )


def _describe_terminal(terminal: str) -> str:
    for name, words in _TERMINAL_DESCRIPTIONS:
        if name == terminal:
            return words
    return f'"{terminal.lower()}"'


def _number(text: str) -> int:
    try:
        return parse_count(text)
    except MalformedError as error:
        raise CommandSyntaxError(str(error)) from error


def _duration_ms(token: Token) -> int:
    for unit, factor in _MS_PER_UNIT:
        if token.endswith(unit):
            return _number(token.removesuffix(unit)) * factor
    raise CommandSyntaxError(f'{token} is not a duration')


def _accepting_change(
    part: str,
    name: str,
    *,
    accepting: bool,
    confirmed: bool,
) -> Change:
    match part:
        case 'datacentre':
            return SetDataCentreAccepting(name, accepting, confirmed)
        case 'service':
            return SetServiceAccepting(name, accepting, confirmed)
    return SetTargetAccepting(name, accepting, confirmed)


class _CommandBuilder(Transformer):
    """Builds a command from a parse tree; each method handles one rule."""

    def start(self, children):
        return children[0]

    def subject(self, children):
        return str(children[0])

    def condition(self, children):
        return Condition(str(children[0]), str(children[1]))

    def filter(self, children):
        return tuple(children)

    def last(self, children):
        return _number(children[0])

    def show(self, children):
        subject, conditions, last = children
        return Show(subject, conditions or (), last or 0)

    def part(self, children):
        return str(children[0])

    def confirm(self, children):
        return True

    def take_out(self, children):
        part, name, confirmed = children
        change = _accepting_change(
            part,
            str(name),
            accepting=False,
            confirmed=bool(confirmed),
        )
        return MakeChange(change)

    def bring_back(self, children):
        part, name = children
        change = _accepting_change(
            part,
            str(name),
            accepting=True,
            confirmed=False,
        )
        return MakeChange(change)

    def kind(self, children):
        return RouteKind(str(children[1]))

    def policy(self, children):
        return AnswerPolicy(str(children[1]))

    def timeout(self, children):
        return _duration_ms(children[0])

    def answer_by(self, children):
        return _duration_ms(children[0])

    def add_route(self, children):
        name, group, kind, policy, timeout_ms, answer_by_ms = children
        defaults = Route(str(name), str(group))
        route = Route(
            defaults.name,
            defaults.group,
            kind or defaults.kind,
            policy or defaults.policy,
            timeout_ms or defaults.timeout_ms,
            answer_by_ms or defaults.answer_by_ms,
        )
        return MakeChange(PutRoute(route))

    def remove_route(self, children):
        return MakeChange(RemoveRoute(str(children[0])))

    def set_limit(self, children):
        name, slots, connections = children
        change = SetTargetLimits(
            str(name), _number(slots), _number(connections)
        )
        return MakeChange(change)

    def watch(self, children):
        revision, duration = children
        defaults = Watch()
        return Watch(
            _number(revision) if revision else defaults.revision,
            _duration_ms(duration) if duration else defaults.wait_ms,
        )

    def compare(self, children):
        return Compare(_number(children[0]), _number(children[1]))

    def check(self, children):
        return CheckFile(Path(str(children[0])))

    def apply(self, children):
        return ApplyFile(Path(str(children[0])))

    def help(self, children):
        return Help()
