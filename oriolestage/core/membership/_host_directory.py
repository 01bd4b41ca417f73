"""Introduces this host to others and follows the platform's host list.

The list lags, so it only names candidates: probes say who is alive. Watching
hosts read it and pass on which targets are leaving to their owners.
"""

from collections.abc import Sequence

import msgspec

from oriolestage.core._effects import Outbox
from oriolestage.core._messages import MemberState, TargetLeaving
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import StoreFound, StoreOutcome, StorePort
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.membership._host_list import HostList, decode_host_list
from oriolestage.core.membership._membership import Membership
from oriolestage.core.targets._ownership import OwnershipView, PeerPort

#: Period of introductions while no other member is known, in seconds.
INTRODUCTION_PERIOD_S = 1.0


class HostDirectory:
    """Finds the other hosts."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        membership: Membership,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerPort,
        seeds: Sequence[str],
    ) -> None:
        """Know the gossip addresses ``seeds`` besides the host list."""
        self._parameters = parameters
        self._outbox = outbox
        self._timers = timers
        self._store = store
        self._membership = membership
        self._configuration = configuration
        self._ownership = ownership
        self._peers = peers
        self._seeds = tuple(seeds)
        self._leaving: frozenset[str] = frozenset()

    def start(self) -> None:
        """Meet the seeds and begin to read the list."""
        self._introduce()
        self._read()

    def _introduce(self) -> None:
        if self._membership.alive_count > 1:
            return
        for address in self._seeds:
            if address != self._membership.identity.gossip_address:
                self._membership.contact(address)
        self._timers.call_after(INTRODUCTION_PERIOD_S, self._introduce)

    def _read(self) -> None:
        self._timers.call_after(
            self._parameters.host_list_period_s,
            self._read,
        )
        if self._configuration.is_reader:
            self._store.read_host_list(self._on_list)

    def _on_list(self, outcome: StoreOutcome) -> None:
        if not isinstance(outcome, StoreFound):
            return
        try:
            listed = decode_host_list(outcome.content)
        except msgspec.DecodeError as error:
            self._outbox.log(
                'host_list_malformed',
                step='host_list',
                error=str(error),
            )
            return
        self._meet(listed)
        self._pass_on_leaving(listed)

    def _meet(self, listed: HostList) -> None:
        names: set[str] = set()
        for host in listed.hosts:
            if host.kind != 'entry':
                continue
            names.add(host.name)
            known = self._membership.member(host.name)
            if known is None or known.state is MemberState.REMOVED:
                self._membership.contact(host.address)
        self._membership.remove_absent(frozenset(names))

    def _pass_on_leaving(self, listed: HostList) -> None:
        leaving = frozenset(
            host.name
            for host in listed.hosts
            if host.kind == 'target' and host.leaving
        )
        for name in leaving | self._leaving:
            target = self._configuration.index.target(name)
            if target is None:
                continue
            news = TargetLeaving(self._peers.me, name, name in leaving)
            self._peers.send(self._ownership.owner_of(target), news)
        self._leaving = leaving
