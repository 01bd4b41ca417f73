"""Network addresses: an IPv4 address and a TCP port."""

import dataclasses
import ipaddress

MIN_PORT = 1
MAX_PORT = 65_535
#: Longest text of an address, such as ``255.255.255.255:65535``.
MAX_ADDRESS_CHARACTERS = 21


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An address to connect to or to listen on."""

    #: IPv4 address in dotted form.
    ip: str
    port: int

    def __str__(self) -> str:
        """Return the text form, ``ip:port``."""
        return f'{self.ip}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    Raises ``ValueError`` for anything else. Host names are not accepted, so
    that no name is ever looked up.
    """
    if len(text) > MAX_ADDRESS_CHARACTERS:
        raise ValueError(f'address of {len(text)} characters')
    ip, _, digits = text.rpartition(':')
    try:
        parsed = ipaddress.IPv4Address(ip)
    except ipaddress.AddressValueError as error:
        raise ValueError(
            f'address {text!r} is not of the form ip:port'
        ) from error
    if not (digits.isascii() and digits.isdigit()):
        raise ValueError(f'port {digits!r} is not a number')
    port = int(digits)
    if not MIN_PORT <= port <= MAX_PORT:
        raise ValueError(f'port {port} is not from {MIN_PORT} to {MAX_PORT}')
    return Address(str(parsed), port)


def parse_remote_address(text: str) -> Address:
    """Parse the address of another process.

    Raises ``ValueError`` as :func:`parse_address` does, and for an address
    that no single process can have.
    """
    address = parse_address(text)
    parsed = ipaddress.IPv4Address(address.ip)
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise ValueError(f'address {text!r} is not that of one process')
    return address
