"""Builders of entry hosts that are being stopped."""

import asyncio
import types
import typing

from oriolestage.entry import _composition

#: Time until a host is killed, in seconds.
GRACE_S = 6.0


class _NoConnections(list[object]):
    """Callers without connections."""

    accepted_at = float('-inf')

    def close_idle(self) -> None:
        """Close no connection."""

    def refuse_heads(self) -> None:
        """Refuse no request."""


class _NoCallers:
    """A server for callers that has none."""

    def __init__(self) -> None:
        self.connections = _NoConnections()

    def start_draining(self) -> None:
        """Close no connection."""

    def end_by(self, ends_at: float) -> None:
        """End no request."""

    def stop_accepting(self) -> None:
        """Accept no connection."""

    async def close(self) -> int:
        """Cut no request."""
        return 0


class Relays(list[str]):
    """Requests of other hosts in flight."""

    def end_by(self, ends_at: float) -> None:
        """Decline no request."""

    def log_cut(self) -> int:
        """Return the number of requests that are cut."""
        return len(self)


async def _withdraw() -> None:
    """Withdraw no registration."""


def make_host(relays: Relays) -> _composition.EntryHost:
    """Return a host with requests of other hosts and none of its own."""
    host = types.SimpleNamespace(
        settings=types.SimpleNamespace(stop_grace_s=GRACE_S),
        router=types.SimpleNamespace(
            in_flight=0, cut_count=0, end_by=lambda _: None
        ),
        callers=_NoCallers(),
        control=types.SimpleNamespace(ready=True),
        registration=types.SimpleNamespace(withdraw=_withdraw),
        peer_server=types.SimpleNamespace(requests=relays),
        stopping=asyncio.Event(),
    )
    return typing.cast(_composition.EntryHost, host)
