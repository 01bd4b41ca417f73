"""Items of the store and their changes, parsed into domain types."""

import dataclasses

from oriolestage.rollouts._orders import (
    HostEvidence,
    RolloutOrder,
    RolloutStatus,
)
from oriolestage.routing._crash_detector import QuarantineReport
from oriolestage.routing._rules import RoutingTable
from oriolestage.routing._targets import TargetRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStored:
    """A version of the configuration, stored by the operators."""

    table: RoutingTable


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStored:
    """A new or changed registration of a target."""

    record: TargetRecord


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """The registration of a target was removed."""

    identity: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreClosed:
    """A data centre that the operators took out of service."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreOpened:
    """A data centre that the operators put back into service."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """Registration of an entry host, read by the other entry hosts."""

    name: str
    data_centre: str
    #: Address at which it takes requests of other hosts, as ``ip:port``.
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostStored:
    """A new or changed registration of an entry host."""

    record: HostRecord


@dataclasses.dataclass(frozen=True, slots=True)
class HostRemoved:
    """The registration of an entry host was removed."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashStored:
    """A report on a quarantine, stored by an entry host for all others."""

    report: QuarantineReport


@dataclasses.dataclass(frozen=True, slots=True)
class OrderStored:
    """An order of the operators to roll out a version."""

    order: RolloutOrder


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRemoved:
    """The order for a service was removed."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatusStored:
    """What a host has decided about a roll-out."""

    status: RolloutStatus


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRemoved:
    """The status of a service's roll-out was removed."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceStored:
    """Counters of one host for a roll-out."""

    evidence: HostEvidence


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableItem:
    """An item of the store that could not be parsed and is ignored."""

    key: str
    #: Why parsing failed.
    problem: str
    #: Identity of the target whose registration the item is; empty if none.
    target: str = ''


StoredFact = (
    ConfigurationStored
    | TargetStored
    | TargetRemoved
    | DataCentreClosed
    | DataCentreOpened
    | HostStored
    | HostRemoved
    | CrashStored
    | OrderStored
    | OrderRemoved
    | StatusStored
    | StatusRemoved
    | EvidenceStored
    | UnreadableItem
)
