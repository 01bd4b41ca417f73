"""One request that runs at most once, while it is worked on."""

import dataclasses

from oriolestage.core.configuration._configuration import Route
from oriolestage.core.queries._caller_request import CallerRequest
from oriolestage.core.queries._outcomes import NotRun


@dataclasses.dataclass(slots=True)
class Command:
    """What is known of the request and its only attempt."""

    request: CallerRequest
    route: Route
    service: str
    deadline: float
    #: Number of the claim, 0 for requests without a key.
    claim: int = 0
    granted: bool = False
    attempt: int = 0
    dispatches: int = 0
    failure: NotRun | None = None
    ended: bool = False
