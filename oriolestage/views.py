"""What the daemon shows to callers and operators, as typed JSON."""

import msgspec

from oriolestage.core import (
    CallerOutcome,
    Change,
    CommandAnswer,
    Configuration,
    KeyRange,
    MayHaveRun,
    NodeCore,
    NotRun,
    QueryAnswer,
    RevisionRecord,
)


class TargetView(msgspec.Struct, frozen=True):
    """A target as its owner sees it, or as the configuration has it."""

    name: str
    service: str
    data_centre: str
    address: str
    accepting: bool
    slots: int
    #: Empty when another host owns the target.
    state: str = ''
    limit: int = 0
    in_flight: int = 0
    queued: int = 0
    versions: tuple[int, ...] = ()


class HostView(msgspec.Struct, frozen=True):
    """A host of the query tier as another one sees it."""

    name: str
    data_centre: str
    state: str
    incarnation: int


class NodeView(msgspec.Struct, frozen=True):
    """Everything that one host shows."""

    host: str
    state: str
    ready: bool
    revision: int
    queries_in_flight: int
    hosts: tuple[HostView, ...]
    targets: tuple[TargetView, ...]
    document: Configuration
    history: tuple[RevisionRecord, ...]


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change that the tool asks for."""

    change: Change
    operator: str
    command_id: str


class ErrorView(msgspec.Struct, frozen=True, tag='error'):
    """The request to the operator interface was wrong."""

    why: str


def build_node_view(core: NodeCore) -> NodeView:
    """Take a picture of a core."""
    limiters = {
        limiter.target.name: limiter for limiter in core.owner.owned.limiters
    }
    index = core.configuration.index
    targets: list[TargetView] = []
    for target in index.document.targets:
        view = TargetView(
            name=target.name,
            service=target.service,
            data_centre=target.data_centre,
            address=target.address,
            accepting=index.may_take_work(target.name),
            slots=target.slots,
        )
        limiter = limiters.get(target.name)
        if limiter is not None:
            view = msgspec.structs.replace(
                view,
                state=limiter.state,
                limit=limiter.limit,
                in_flight=limiter.in_flight,
                queued=len(limiter.queue),
                versions=limiter.versions,
            )
        targets.append(view)
    return NodeView(
        host=core.membership.identity.name,
        state=core.state,
        ready=core.ready,
        revision=core.configuration.revision,
        queries_in_flight=core.queries.in_flight,
        hosts=tuple(
            HostView(
                member.name,
                member.data_centre,
                member.state.name.lower(),
                member.incarnation,
            )
            for member in core.membership.members
        ),
        targets=tuple(targets),
        document=index.document,
        history=core.configuration.records,
    )


class QueryAnswerView(msgspec.Struct, frozen=True, tag='answer'):
    """The answer to a query, as its caller sees it."""

    request_id: str
    #: True when nothing of the key space is missing.
    whole: bool
    #: Index version that every row was read from.
    version: int
    #: Ranges of keys that were read, each as start and end.
    covered: tuple[KeyRange, ...]
    missing: tuple[KeyRange, ...]
    #: Why each shard without rows has none.
    lacking: tuple[NotRun | MayHaveRun, ...]
    #: Row lists of the shards, in the order of their keys.
    rows: list[msgspec.Raw]


class CommandAnswerView(msgspec.Struct, frozen=True, tag='command_answer'):
    """The answer to a request that runs at most once."""

    request_id: str
    #: True when the answer was kept from an earlier run of the same key.
    replayed: bool
    result: msgspec.Raw


CallerView = QueryAnswerView | CommandAnswerView | NotRun | MayHaveRun


def caller_view(request_id: str, outcome: CallerOutcome) -> CallerView:
    """Give an outcome in the form in which callers get it."""
    match outcome:
        case QueryAnswer(coverage=coverage):
            return QueryAnswerView(
                request_id=request_id,
                whole=coverage.whole,
                version=outcome.version,
                covered=coverage.covered,
                missing=coverage.missing,
                lacking=outcome.lacking,
                rows=[msgspec.Raw(rows) for rows in outcome.rows],
            )
        case CommandAnswer(answer=answer, replayed=replayed):
            rows = msgspec.Raw(answer.rows)
            return CommandAnswerView(request_id, replayed, rows)
    return outcome
