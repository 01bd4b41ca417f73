"""The platform's list of hosts and targets, and its decoding."""

import msgspec


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the list; it may be out of date."""

    name: str
    #: ``entry`` for hosts of the query tier, ``target`` for targets.
    kind: str
    #: Gossip address of an entry host, or address of a target.
    address: str
    data_centre: str
    #: True once the platform is removing the host or target.
    leaving: bool = False


class HostList(msgspec.Struct, frozen=True):
    """All hosts and targets that the platform lists."""

    hosts: tuple[ListedHost, ...] = ()


def decode_host_list(content: bytes) -> HostList:
    """Decode the JSON list; raise ``msgspec.DecodeError`` if malformed."""
    return msgspec.json.decode(content, type=HostList)
