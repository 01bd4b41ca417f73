"""Settings of an entry host."""

import dataclasses

from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.rollouts._bounds import RolloutBounds
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
    #: Bounds on the quotas of client accounts.
    quota: QuotaBounds = QuotaBounds()
    #: Bounds on roll-outs of versions; None if there are no roll-outs.
    rollouts: RolloutBounds | None = None
    #: Whether targets that have started or recovered are given work at the
    #: pace that their answers allow.
    target_pacing: bool = False
    #: Memory of the host's machine in bytes; None if it is not known.
    memory_bytes: int | None = None
    #: File descriptors that the process may have open; None if not known.
    descriptors: int | None = None
