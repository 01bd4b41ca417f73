"""Discovers other hosts through seeds and the platform's host list.

The host list lags behind, so it only names hosts to contact; probes determine
which of them are alive. The hosts that watch the store also read the list, and
tell the owners of targets which targets are leaving.
"""

from collections.abc import Sequence

from oriolestage.core._effects import Outbox
from oriolestage.core._errors import MalformedError
from oriolestage.core._messages import MemberState, TargetLeaving
from oriolestage.core._parameters import Parameters
from oriolestage.core._store_port import StoreFound, StoreOutcome, StorePort
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.membership._host_list import HostList, decode_host_list
from oriolestage.core.membership._membership import Membership
from oriolestage.core.targets._ownership import OwnershipView, PeerMessenger

#: Interval between contacts with the seeds while no other member is alive, in
#: seconds.
SEED_CONTACT_PERIOD_S = 1.0


class HostDirectory:
    """Keeps the membership and the owners in step with the host list."""

    def __init__(
        self,
        parameters: Parameters,
        outbox: Outbox,
        timers: Timers,
        store: StorePort,
        membership: Membership,
        configuration: ConfigurationTracker,
        ownership: OwnershipView,
        peers: PeerMessenger,
        seeds: Sequence[str],
    ) -> None:
        """Create a directory; ``seeds`` are gossip addresses of other hosts."""
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
        """Contact the seeds and start to read the host list periodically."""
        self._contact_seeds()
        self._read_periodically()

    def _contact_seeds(self) -> None:
        if self._membership.alive_count > 1:
            return
        self._timers.call_after(SEED_CONTACT_PERIOD_S, self._contact_seeds)
        for address in self._seeds:
            if address != self._membership.identity.gossip_address:
                self._membership.contact(address)

    def _read_periodically(self) -> None:
        self._timers.call_after(
            self._parameters.host_list_period_s,
            self._read_periodically,
        )
        if self._configuration.is_reader:
            self._store.read_host_list(self._on_host_list)

    def _on_host_list(self, outcome: StoreOutcome) -> None:
        if not isinstance(outcome, StoreFound):
            return
        try:
            listed = decode_host_list(outcome.content)
        except MalformedError as error:
            self._log_malformed(str(error), 1)
            return
        if listed.errors:
            self._log_malformed(listed.errors[0], len(listed.errors))
        self._update_members(listed)
        self._report_leaving_targets(listed)

    def _log_malformed(self, error: str, count: int) -> None:
        self._outbox.log(
            'host_list_malformed',
            step='host_list',
            error=error,
            count=count,
        )

    def _update_members(self, listed: HostList) -> None:
        names: set[str] = set()
        for host in listed.hosts:
            if host.kind != 'entry':
                continue
            names.add(host.name)
            known = self._membership.member(host.name)
            if known is None or known.state is MemberState.REMOVED:
                self._membership.contact(host.address)
        # An entry that cannot be read may name any of the dead members.
        if not listed.errors:
            self._membership.remove_absent(frozenset(names))

    def _report_leaving_targets(self, listed: HostList) -> None:
        leaving = frozenset(
            host.name
            for host in listed.hosts
            if host.kind == 'target' and host.leaving
        )
        if listed.errors:
            leaving |= self._leaving
        for name in leaving | self._leaving:
            target = self._configuration.index.target(name)
            if target is None:
                continue
            message = TargetLeaving(
                self._peers.local_name, name, name in leaving
            )
            self._peers.send(self._ownership.owner_of(target), message)
        self._leaving = leaving
