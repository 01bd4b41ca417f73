"""The configuration document: data centres, services, targets, routes."""

import enum
from typing import Self

import msgspec

from oriolestage.core._field_types import Count

#: Size of the key space that the services of a group partition.
KEY_SPACE_SIZE = 65536


class RouteKind(enum.Enum):
    """How the requests of a route are executed."""

    #: Idempotent; sent to every service of the group.
    QUERY = 'query'
    #: Runs at most once, on one target of one service of the group.
    COMMAND = 'command'


class AnswerPolicy(enum.Enum):
    """When a query is answered while shards are still missing."""

    #: At the deadline only, to get a whole answer.
    WHOLE = 'whole'
    #: At the latency target, with the shards that have answered.
    LATENCY = 'latency'


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre in which targets run."""

    name: str
    region: str
    #: False while operators have taken the data centre out of service.
    accepting: bool = True


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One shard of a group, served by interchangeable targets."""

    name: str
    group: str
    accepting: bool = True


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A back end that serves one service."""

    name: str
    service: str
    data_centre: str
    #: Listening address, as ``ip:port``.
    address: str
    #: Concurrent requests that it handles when warm.
    slots: int
    #: Connections that it accepts in total, from all hosts.
    connections: int
    accepting: bool = True


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry point for callers to a group of services."""

    name: str
    group: str
    kind: RouteKind = RouteKind.QUERY
    policy: AnswerPolicy = AnswerPolicy.WHOLE
    #: Upper limit of a request's timeout, in milliseconds.
    timeout_ms: int = 1000
    #: Latency target in milliseconds; used by the latency policy only.
    answer_by_ms: int = 200


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration at one revision."""

    revision: Count = 0
    data_centres: tuple[DataCentre, ...] = ()
    services: tuple[Service, ...] = ()
    targets: tuple[Target, ...] = ()
    routes: tuple[Route, ...] = ()

    def at_revision(self, revision: int) -> Self:
        """Return a copy of the document with this revision number."""
        return msgspec.structs.replace(self, revision=revision)


def serving_targets(document: Configuration) -> tuple[Target, ...]:
    """Return the targets that may take work.

    The target, its service and its data centre must all be accepting.
    """
    accepting_centres = {
        centre.name for centre in document.data_centres if centre.accepting
    }
    accepting_services = {
        service.name for service in document.services if service.accepting
    }
    return tuple(
        target
        for target in document.targets
        if target.accepting
        and target.data_centre in accepting_centres
        and target.service in accepting_services
    )
