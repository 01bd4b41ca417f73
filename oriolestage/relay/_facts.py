"""Facts that the store holds, in the words of the product."""

import dataclasses

from oriolestage.relay._crash_detector import CrashReport
from oriolestage.relay._rules import RoutingTable
from oriolestage.relay._targets import TargetRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStored:
    """The operators stored a configuration."""

    table: RoutingTable


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStored:
    """A target registered or changed its registration."""

    record: TargetRecord


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """The registration of a target was removed."""

    identity: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreClosed:
    """The operators took a data centre out of service."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreOpened:
    """The operators took a data centre back into service."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """What an entry host tells the others of itself."""

    name: str
    data_centre: str
    #: Address for requests of other hosts, as ``ip:port``.
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostStored:
    """An entry host registered."""

    record: HostRecord


@dataclasses.dataclass(frozen=True, slots=True)
class HostRemoved:
    """The registration of an entry host was removed."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashStored:
    """An entry host proved that a request makes targets crash."""

    report: CrashReport


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableItem:
    """An item that cannot be used; nothing is believed of it."""

    key: str
    problem: str
    #: Identity of the target that the item would have told of, if any.
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
    | UnreadableItem
)
