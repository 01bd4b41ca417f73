"""Builds and connects the components of one host's decision core."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from oriolestage.core._effects import Outbox
from oriolestage.core._parameters import Identity, Parameters
from oriolestage.core._store_port import StorePort
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration_store import (
    ConfigurationStore,
)
from oriolestage.core.configuration._configuration_tracker import (
    ConfigurationTracker,
)
from oriolestage.core.configuration._freshness import Freshness
from oriolestage.core.configuration._in_force import RevisionPolls
from oriolestage.core.configuration._operator_commands import OperatorCommands
from oriolestage.core.keys._key_owner import KeyOwner
from oriolestage.core.membership._host_directory import HostDirectory
from oriolestage.core.membership._membership import Membership
from oriolestage.core.queries._attempts import AttemptTable
from oriolestage.core.queries._command_runner import CommandRunner
from oriolestage.core.queries._query_runner import QueryRunner
from oriolestage.core.queries._shard_sender import ShardSender
from oriolestage.core.targets._crashes import CrashRegister
from oriolestage.core.targets._ownership import OwnershipView, PeerMessenger
from oriolestage.core.targets._target_owner import TargetOwner
from oriolestage.core.targets._target_selector import TargetSelector


@dataclasses.dataclass(frozen=True, slots=True)
class NodeParts:
    """The components of one host's decision core."""

    identity: Identity
    parameters: Parameters
    outbox: Outbox
    timers: Timers
    freshness: Freshness
    store: StorePort
    membership: Membership
    configuration: ConfigurationTracker
    configuration_store: ConfigurationStore
    operator_commands: OperatorCommands
    revision_polls: RevisionPolls
    peers: PeerMessenger
    crashes: CrashRegister
    attempts: AttemptTable
    owner: TargetOwner
    queries: QueryRunner
    command_runner: CommandRunner
    keys: KeyOwner
    directory: HostDirectory

    def may_start_work(self) -> bool:
        """Return whether new work may be sent to targets now.

        This requires a loaded configuration that is still fresh.
        """
        if not self.configuration.loaded:
            return False
        return self.freshness.is_fresh(
            self.timers.now,
            self.membership.alive_count,
            self.membership.fleet_size,
        )


def build_parts(
    identity: Identity,
    parameters: Parameters,
    randomness: random.Random,
    now: float,
    seeds: Sequence[str],
    may_start_work: Callable[[], bool],
) -> NodeParts:
    """Build the components; ``seeds`` are gossip addresses of other hosts."""
    outbox = Outbox()
    timers = Timers(now)
    store = StorePort(outbox, timers, Freshness(parameters.freshness_limit_s))
    membership = Membership(
        identity,
        parameters,
        randomness,
        outbox,
        timers,
        store.freshness,
    )
    configuration = ConfigurationTracker(
        parameters,
        outbox,
        timers,
        membership,
    )
    configuration_store = ConfigurationStore(
        parameters,
        randomness,
        outbox,
        timers,
        store,
        configuration,
    )
    ownership = OwnershipView(membership, configuration)
    peers = PeerMessenger(membership, outbox)
    crashes = CrashRegister(parameters, outbox, timers, membership)
    selector = TargetSelector(randomness)
    attempts = AttemptTable(parameters, outbox, timers, peers, selector)
    sender = ShardSender(
        timers,
        configuration,
        ownership,
        peers,
        selector,
        attempts,
    )
    return NodeParts(
        identity=identity,
        parameters=parameters,
        outbox=outbox,
        timers=timers,
        freshness=store.freshness,
        store=store,
        membership=membership,
        configuration=configuration,
        configuration_store=configuration_store,
        operator_commands=OperatorCommands(
            parameters,
            timers,
            store,
            membership,
            configuration,
            configuration_store,
        ),
        revision_polls=RevisionPolls(outbox, timers, membership),
        peers=peers,
        crashes=crashes,
        attempts=attempts,
        owner=TargetOwner(
            parameters,
            outbox,
            timers,
            membership,
            configuration,
            ownership,
            peers,
            crashes,
            may_start_work,
        ),
        queries=QueryRunner(
            parameters,
            outbox,
            timers,
            configuration,
            crashes,
            selector,
            attempts,
            sender,
        ),
        command_runner=CommandRunner(
            parameters,
            outbox,
            timers,
            configuration,
            ownership,
            peers,
            crashes,
            selector,
            attempts,
            sender,
        ),
        keys=KeyOwner(
            parameters,
            outbox,
            timers,
            store,
            ownership,
            peers,
            identity.incarnation,
            lambda: identity.incarnation + int((timers.now - now) * 1000),
        ),
        directory=HostDirectory(
            parameters,
            outbox,
            timers,
            store,
            membership,
            configuration,
            ownership,
            peers,
            seeds,
        ),
    )
