"""The platform's list of hosts and targets, as the core reads it."""

import msgspec


class ListedHost(msgspec.Struct, frozen=True):
    """One line of the list; it lags behind the truth."""

    name: str
    #: ``entry`` for hosts of the query tier, ``target`` for targets.
    kind: str
    #: Gossip address of an entry host, or address of a target.
    address: str
    data_centre: str
    #: True once the platform is taking the host away.
    leaving: bool = False


class HostList(msgspec.Struct, frozen=True):
    """The whole list."""

    hosts: tuple[ListedHost, ...] = ()


def decode_host_list(content: bytes) -> HostList:
    """Decode the list; raises ``msgspec.DecodeError`` when malformed."""
    return msgspec.json.decode(content, type=HostList)
