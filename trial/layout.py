"""The hosts, targets and configuration of a trial, with their addresses.

A user is an organisation whose services are queried through the tier. Trials
have two: an association and a franchise.
"""

import dataclasses
from collections.abc import Sequence

from oriolestage.core import (
    KEY_SPACE_SIZE,
    AnswerPolicy,
    Configuration,
    DataCentre,
    Route,
    RouteKind,
    Service,
    Target,
)

#: Loopback addresses of the processes; each host and target has its own. Hosts
#: reach each other through the network stand-in at the advertised addresses.
PLATFORM_IP = '127.1.0.1'
BALANCER_IP = '127.1.0.2'
HOST_IP_PREFIX = '127.1.1.'
TARGET_IP_PREFIX = '127.1.2.'
ADVERTISED_IP_PREFIX = '127.1.3.'
LINKS_IP = '127.1.0.3'
PLATFORM_PORT = 7100
BALANCER_PORT = 7101
LINKS_PORT = 7102
CALLERS_PORT = 7001
OPERATORS_PORT = 7002
GOSSIP_PORT = 7003
DATA_PORT = 7004
TARGET_PORT = 7200


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSpec:
    """A group of services with the same number and limits of targets."""

    name: str
    services: int
    #: Targets of each service.
    replicas: int
    #: Concurrent requests that a target handles when warm.
    slots: int
    #: Connections that a target accepts in total, from all hosts.
    connections: int
    #: Delay of a new connection, in milliseconds.
    connect_ms: float
    kind: RouteKind
    policy: AnswerPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class UserSpec:
    """The data centres and groups of one user."""

    name: str
    data_centres: tuple[str, ...]
    groups: tuple[GroupSpec, ...]


def association(services: int = 4) -> UserSpec:
    """Return the user ``association``; ``services`` sizes its query group.

    The default is smaller than the real group.
    """
    return UserSpec(
        'association',
        ('marmara-a', 'ege-a', 'ic-anadolu-a'),
        (
            GroupSpec(
                'sitter-app',
                services,
                2,
                2,
                25,
                6,
                RouteKind.QUERY,
                AnswerPolicy.WHOLE,
            ),
            GroupSpec(
                'visit-log',
                1,
                3,
                4,
                100,
                1,
                RouteKind.COMMAND,
                AnswerPolicy.WHOLE,
            ),
        ),
    )


def franchise(services: int = 4) -> UserSpec:
    """Return the user ``franchise``; ``services`` sizes its query group.

    The default is smaller than the real group.
    """
    return UserSpec(
        'franchise',
        ('gent-a', 'namur-a', 'anderlecht-a'),
        (
            GroupSpec(
                'motif-finder',
                services,
                2,
                2,
                25,
                6,
                RouteKind.QUERY,
                AnswerPolicy.LATENCY,
            ),
            GroupSpec(
                'atelier-orders',
                1,
                3,
                3,
                40,
                1,
                RouteKind.COMMAND,
                AnswerPolicy.WHOLE,
            ),
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedTarget:
    """A target with the key range and connection delay of its stand-in."""

    target: Target
    key_start: int
    key_end: int
    connect_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedHost:
    """An entry host with its IP address and data centre."""

    name: str
    data_centre: str
    ip: str

    @property
    def advertised_ip(self) -> str:
        """The IP address at which the network stand-in relays to this host."""
        return self.ip.replace(HOST_IP_PREFIX, ADVERTISED_IP_PREFIX)

    def address(self, port: int) -> str:
        """Return ``ip:port`` where this host listens."""
        return f'{self.ip}:{port}'

    def advertised_address(self, port: int) -> str:
        """Return ``ip:port`` where other hosts reach this one."""
        return f'{self.advertised_ip}:{port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The configuration, targets and entry hosts of a trial."""

    configuration: Configuration
    targets: tuple[PlacedTarget, ...]
    hosts: tuple[PlacedHost, ...]


def make_layout(users: Sequence[UserSpec], host_count: int) -> Layout:
    """Build the layout of ``users`` with ``host_count`` entry hosts.

    Hosts are spread round-robin over the data centres of all users, and the
    replicas of a service over those of its user.
    """
    data_centres = [name for user in users for name in user.data_centres]
    hosts = tuple(
        PlacedHost(
            f'entry-{number + 1}',
            data_centres[number % len(data_centres)],
            f'{HOST_IP_PREFIX}{number + 1}',
        )
        for number in range(host_count)
    )
    targets: list[PlacedTarget] = []
    services: list[Service] = []
    routes: list[Route] = []
    for user in users:
        for group in user.groups:
            routes.append(
                Route(group.name, group.name, group.kind, group.policy),
            )
            for number in range(group.services):
                services.append(
                    Service(f'{group.name}-{number + 1}', group.name),
                )
                targets.extend(
                    _replicas(user, group, number, len(targets)),
                )
    configuration = Configuration(
        data_centres=tuple(DataCentre(name, name) for name in data_centres),
        services=tuple(services),
        targets=tuple(placed.target for placed in targets),
        routes=tuple(routes),
    )
    return Layout(configuration, tuple(targets), hosts)


def _replicas(
    user: UserSpec,
    group: GroupSpec,
    number: int,
    first_address_index: int,
) -> list[PlacedTarget]:
    key_start = KEY_SPACE_SIZE * number // group.services
    key_end = KEY_SPACE_SIZE * (number + 1) // group.services
    replicas: list[PlacedTarget] = []
    for replica in range(group.replicas):
        data_centre = user.data_centres[
            (number + replica) % len(user.data_centres)
        ]
        address_number = first_address_index + replica
        name = f'{group.name}-{number + 1}-{replica + 1}'
        target = Target(
            name=name,
            service=f'{group.name}-{number + 1}',
            data_centre=data_centre,
            address=f'{TARGET_IP_PREFIX}{address_number + 1}:{TARGET_PORT}',
            slots=group.slots,
            connections=group.connections,
        )
        replicas.append(
            PlacedTarget(target, key_start, key_end, group.connect_ms),
        )
    return replicas
