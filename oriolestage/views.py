"""JSON documents that the daemon exchanges with callers and operators."""

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
    UnreadableValue,
)


class TargetView(msgspec.Struct, frozen=True):
    """A configured target and, if this host owns it, its current load.

    If not, the fields from ``state`` on have their defaults.
    """

    name: str
    service: str
    data_centre: str
    address: str
    accepting: bool
    slots: int
    #: Empty if another host owns the target.
    state: str = ''
    #: Current concurrency limit of the target.
    limit: int = 0
    in_flight: int = 0
    queued: int = 0
    #: Index versions that the target serves.
    versions: tuple[int, ...] = ()


class HostView(msgspec.Struct, frozen=True):
    """A member of the query tier, in the state that this host assumes."""

    name: str
    data_centre: str
    state: str
    incarnation: int


class NodeView(msgspec.Struct, frozen=True):
    """The state of one host, its view of the tier and its configuration."""

    host: str
    state: str
    ready: bool
    revision: int
    queries_in_flight: int
    hosts: tuple[HostView, ...]
    targets: tuple[TargetView, ...]
    document: Configuration
    history: tuple[RevisionRecord, ...]
    #: Values in the store that cannot be used; the last good ones are in
    #: force.
    unreadable: tuple[UnreadableValue, ...] = ()


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of the configuration that an operator requests."""

    change: Change
    operator: str
    command_id: str


class ErrorView(msgspec.Struct, frozen=True, tag='error'):
    """The answer to an invalid request at the operator interface."""

    why: str


def build_node_view(core: NodeCore) -> NodeView:
    """Return the current state of a node."""
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
        unreadable=core.unreadable.current,
    )


class QueryAnswerView(msgspec.Struct, frozen=True, tag='answer'):
    """The answer to a query, complete or partial."""

    request_id: str
    #: True if no requested key range is missing.
    whole: bool
    #: Index version from which all rows were read.
    version: int
    #: Key ranges that were read, each as start and end.
    covered: tuple[KeyRange, ...]
    #: Requested key ranges that were not read.
    missing: tuple[KeyRange, ...]
    #: For each shard whose rows are left out, the reason.
    lacking: tuple[NotRun | MayHaveRun, ...]
    #: Lists of rows, one for each shard that was read, in key order.
    rows: list[msgspec.Raw]


class CommandAnswerView(msgspec.Struct, frozen=True, tag='command_answer'):
    """The answer to a command, which runs at most once."""

    request_id: str
    #: True if the answer is the stored one of an earlier run with the same
    #: idempotency key.
    replayed: bool
    result: msgspec.Raw


CallerView = QueryAnswerView | CommandAnswerView | NotRun | MayHaveRun


def caller_view(request_id: str, outcome: CallerOutcome) -> CallerView:
    """Return the document that a caller gets for an outcome."""
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
