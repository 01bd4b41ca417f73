"""What a scenario's callers got and what its targets saw."""

import dataclasses

from trial.load import AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer to one sending of a request."""

    request_id: str
    #: Names the work; the same for every sending, empty for queries.
    booking: str
    sent_at: float
    served: AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A target started the work of a request."""

    target: str
    data_centre: str
    request_id: str
    booking: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Overload:
    """A target got more at once than it carries."""

    target: str
    at: float
    in_flight: int
    carries: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A revision came into force in one process."""

    process: str
    revision: int
    command_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """How an operator's command ended."""

    operator: str
    at: float
    outcome: str
    revision: int


@dataclasses.dataclass(slots=True)
class Observations:
    """Everything that the checks look at."""

    answers: list[Answer] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    #: Requests received, those refused included.
    received: list[Run] = dataclasses.field(default_factory=list)
    cold_overloads: list[Overload] = dataclasses.field(default_factory=list)
    slot_overloads: list[Overload] = dataclasses.field(default_factory=list)
    revisions: list[RevisionSeen] = dataclasses.field(default_factory=list)
    operators: list[OperatorAnswer] = dataclasses.field(default_factory=list)
    #: Revision in force at the end, by host that runs.
    final_revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Targets lost to requests that crash.
    crashed: set[str] = dataclasses.field(default_factory=set)
    #: Callers that got no answer from a host that stopped as planned.
    cut_by_stop: int = 0
