"""The state of a command: a request that runs at most once."""

import dataclasses

from oriolestage.core.configuration._configuration import Route
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._outcomes import NotRun


@dataclasses.dataclass(slots=True)
class Command:
    """The state of one command at its entry host."""

    request: CallerRequest
    route: Route
    service: str
    #: When the caller is answered at the latest, in seconds of core time.
    deadline: float
    #: Number of the latest claim; 0 without an idempotency key.
    claim: int = 0
    #: True once the command may be sent to a target.
    granted: bool = False
    #: Number of the attempt in flight; 0 while there is none.
    attempt: int = 0
    #: How often the command was sent, refused attempts included.
    dispatches: int = 0
    #: The latest refusal.
    failure: NotRun | None = None
    ended: bool = False
