"""The platform's list of hosts and targets, and its decoding."""

import dataclasses

import msgspec

from oriolestage.core._decoding import decode_json
from oriolestage.core._errors import MalformedError
from oriolestage.core._field_types import Address, HostName


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the list; it may be out of date."""

    name: HostName
    #: ``entry`` for hosts of the query tier, ``target`` for targets.
    kind: str
    #: Gossip address of an entry host, or address of a target.
    address: Address
    data_centre: str
    #: True once the platform is removing the host or target.
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The hosts and targets that the platform lists."""

    hosts: tuple[ListedHost, ...] = ()
    #: Errors of the entries that cannot be read.
    errors: tuple[str, ...] = ()


class _RawHostList(msgspec.Struct, frozen=True):
    hosts: tuple[msgspec.Raw, ...] = ()


def decode_host_list(content: bytes) -> HostList:
    """Decode the JSON list; raise `MalformedError`.

    An entry that cannot be read is left out and does not affect the others.
    """
    hosts: list[ListedHost] = []
    errors: list[str] = []
    for index, entry in enumerate(decode_json(content, _RawHostList).hosts):
        try:
            hosts.append(decode_json(bytes(entry), ListedHost))
        except MalformedError as error:
            errors.append(f'{error} - in `$.hosts[{index}]`')
    return HostList(tuple(hosts), tuple(errors))
