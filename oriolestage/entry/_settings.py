"""Settings of an entry host."""

import dataclasses

from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._warm_up import WarmUpBounds


class EntrySettingsError(Exception):
    """The settings are invalid; the message names the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """The validated settings of one entry host."""

    location: HostLocation
    #: Listening address for callers, as ``ip:port``.
    caller_address: str
    #: Listening address for the balancer's readiness checks, as ``ip:port``.
    ready_address: str
    #: Listening address for streams of other entry hosts, as ``ip:port``.
    peer_address: str
    #: Listening address for metrics, as ``ip:port``.
    metrics_address: str
    #: Address of the store, as ``ip:port``.
    store_address: str
    #: Time between the stop signal and the kill, in seconds.
    stop_grace_s: float
    #: Time within which a host that reaches the store has to know of a
    #: change, in seconds.
    propagation_limit_s: float
    budget: BudgetBounds
    warm_up: WarmUpBounds
