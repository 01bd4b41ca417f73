"""What an entry host is told when it starts."""

import dataclasses

from oriolestage.relay._extra_budget import BudgetBounds
from oriolestage.relay._placement_types import HostPlace
from oriolestage.relay._warm_up import WarmUpBounds


class EntrySettingsError(Exception):
    """The settings cannot be used; the text names the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """The settings of one entry host."""

    place: HostPlace
    #: Address for callers, as ``ip:port``.
    caller_address: str
    #: Address for the balancer's readiness checks, as ``ip:port``.
    ready_address: str
    #: Address for requests of other entry hosts, as ``ip:port``.
    peer_address: str
    #: Address of the metrics, as ``ip:port``.
    metrics_address: str
    #: Address of the store, as ``ip:port``.
    store_address: str
    #: Time between a request to stop and the kill, in seconds.
    stop_grace_s: float
    #: Time after which a host that reaches the store has to know what it
    #: holds, in seconds.
    propagation_limit_s: float
    budget: BudgetBounds
    warm_up: WarmUpBounds
