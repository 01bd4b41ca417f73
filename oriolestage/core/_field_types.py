"""Types of message fields whose range is checked when they are decoded."""

import re
from typing import Annotated

import msgspec

#: Largest count, revision or time in milliseconds that is accepted. Sums of
#: such numbers still fit into 64 bits, which is the limit of MessagePack.
MAX_COUNT = 9_000_000_000_000_000
#: Longest name of a host, in characters.
MAX_NAME_CHARACTERS = 256

_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_PORT = (
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)

_ADDRESS = re.compile(rf'{_OCTET}(\.{_OCTET}){{3}}:{_PORT}')

#: A number from 0 to `MAX_COUNT`.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
#: An address as ``ip:port``, with a port from 1 to 65535.
Address = Annotated[
    str,
    msgspec.Meta(pattern=rf'\A{_ADDRESS.pattern}\Z'),
]
#: The name of a host.
HostName = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS),
]


def is_address(text: str) -> bool:
    """Return whether a text is an address as ``ip:port``."""
    return _ADDRESS.fullmatch(text) is not None
