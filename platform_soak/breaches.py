"""What the checks return."""

import dataclasses
from collections.abc import Callable, Iterator

from platform_soak.clients import Call
from platform_soak.history import History


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken."""

    rule: str
    #: Time of the record, in seconds.
    at: float
    text: str


Check = Callable[[History], Iterator[Breach]]


def breach_of(rule: str, call: Call, text: str) -> Breach:
    """Return the breach of a rule by what became of a call."""
    return Breach(
        rule,
        call.last_sent_at,
        f'{call.attempt} {call.path} at {call.host.name}: {text}',
    )
