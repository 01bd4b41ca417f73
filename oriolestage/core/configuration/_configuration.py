"""The configuration document: data centres, services, targets, routes."""

import enum
from typing import Self

import msgspec

#: Number of keys in the key space that a group of services divides.
KEY_SPACE_SIZE = 65536


class RouteKind(enum.Enum):
    """Whether the requests of a route may be repeated."""

    #: Idempotent; asks every service of the group.
    QUERY = 'query'
    #: Runs at most once, on one target of the group.
    COMMAND = 'command'


class AnswerPolicy(enum.Enum):
    """What a query does when shards are slow."""

    #: Wait for a whole answer until the deadline.
    WHOLE = 'whole'
    #: Answer at the latency target with what is there.
    LATENCY = 'latency'


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre in which targets run."""

    name: str
    region: str
    #: False while operators have taken the data centre out.
    accepting: bool = True


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One shard of a group, served by several targets."""

    name: str
    group: str
    accepting: bool = True


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica of a service."""

    name: str
    service: str
    data_centre: str
    #: Where it listens, as ``ip:port``.
    address: str
    #: Requests it works on at once when warm.
    slots: int
    #: Connections it accepts from all hosts together.
    connections: int
    accepting: bool = True


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A path from callers to a group of services."""

    name: str
    group: str
    kind: RouteKind = RouteKind.QUERY
    policy: AnswerPolicy = AnswerPolicy.WHOLE
    #: Longest time a caller waits, in milliseconds.
    timeout_ms: int = 1000
    #: Latency target in milliseconds, for the latency policy.
    answer_by_ms: int = 200


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration at one revision."""

    revision: int = 0
    data_centres: tuple[DataCentre, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    routes: tuple[Route, ...] = ()

    def at_revision(self, revision: int) -> Self:
        """Give the same document numbered ``revision``."""
        return msgspec.structs.replace(self, revision=revision)


def serving_targets(document: Configuration) -> tuple[Target, ...]:
    """Give the targets that the document lets take work."""
    open_centres = {
        centre.name for centre in document.data_centres if centre.accepting
    }
    open_services = {
        service.name for service in document.services if service.accepting
    }
    return tuple(
        target
        for target in document.targets
        if target.accepting
        and target.data_centre in open_centres
        and target.service in open_services
    )
