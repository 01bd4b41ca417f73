"""Records of what happened in a run of a scenario, as checks read them.

The fields ``at`` and ``sent_at`` are in seconds from the start of the
scenario.
"""

import dataclasses

from trial.load import AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The result of one attempt of a caller to send a request."""

    request_id: str
    #: Identifies a command across retries; empty for queries.
    booking: str
    sent_at: float
    result: AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a target received or ran."""

    target: str
    data_centre: str
    request_id: str
    booking: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Overload:
    """A target had more requests in flight than its capacity."""

    target: str
    at: float
    in_flight: int
    #: Requests that it can carry at once; 0 in runs on processes.
    capacity: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionActivation:
    """A revision that came into force in a host process."""

    #: Host name and number of the start, such as ``entry-1/2``.
    process: str
    revision: int
    #: Operator command that made the change; empty if unknown.
    command_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """The outcome of an operator's command."""

    operator: str
    at: float
    outcome: str
    revision: int


@dataclasses.dataclass(slots=True)
class Observations:
    """All records of a run."""

    answers: list[Answer] = dataclasses.field(default_factory=list)
    #: Requests that targets began to run.
    runs: list[Run] = dataclasses.field(default_factory=list)
    #: Requests that targets received, including those they refused.
    received: list[Run] = dataclasses.field(default_factory=list)
    #: Overloads of cold targets whose owner knew that they were cold.
    cold_overloads: list[Overload] = dataclasses.field(default_factory=list)
    slot_overloads: list[Overload] = dataclasses.field(default_factory=list)
    revisions: list[RevisionActivation] = dataclasses.field(
        default_factory=list
    )
    operator_answers: list[OperatorAnswer] = dataclasses.field(
        default_factory=list
    )
    #: Revision in force at the end, by running host.
    final_revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Targets crashed by a crash request.
    crashed: set[str] = dataclasses.field(default_factory=set)
    #: Requests left unanswered by hosts that stopped as planned. In runs on
    #: processes, the sum of the exit codes of these hosts and, in scenarios
    #: without kills and freezes, of the requests that failed.
    cut_by_stop: int = 0
