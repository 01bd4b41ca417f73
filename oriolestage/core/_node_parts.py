"""Wires the parts of one host's decision core."""

import dataclasses
import random
from collections.abc import Callable, Sequence

from oriolestage.core._effects import Outbox
from oriolestage.core._parameters import Identity, Parameters
from oriolestage.core._store_port import StorePort
from oriolestage.core._timers import Timers
from oriolestage.core.configuration._configuration_keeper import (
    ConfigurationKeeper,
)
from oriolestage.core.configuration._freshness import Freshness
from oriolestage.core.configuration._in_force import InForceSurveys
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
    """The wired parts of one host."""

    identity: Identity
    parameters: Parameters
    outbox: Outbox
    timers: Timers
    freshness: Freshness
    store: StorePort
    membership: Membership
    keeper: ConfigurationKeeper
    commands: OperatorCommands
    surveys: InForceSurveys
    peers: PeerMessenger
    crashes: CrashRegister
    attempts: AttemptTable
    owner: TargetOwner
    queries: QueryRunner
    one_time: CommandRunner
    keys: KeyOwner
    directory: HostDirectory

    def may_start_work(self) -> bool:
        """Tell whether new work may be sent to targets now."""
        if not self.keeper.loaded:
            return False
        return self.freshness.is_fresh(
            self.timers.now,
            self.membership.alive_count,
            self.membership.fleet_size,
        )


def wire_parts(
    identity: Identity,
    parameters: Parameters,
    randomness: random.Random,
    now: float,
    seeds: Sequence[str],
    may_start_work: Callable[[], bool],
) -> NodeParts:
    """Wire the parts; ``seeds`` are gossip addresses of other hosts."""
    outbox = Outbox()
    timers = Timers(now)
    freshness = Freshness(parameters.freshness_limit_s)
    store = StorePort(outbox, timers, freshness)
    membership = Membership(
        identity,
        parameters,
        randomness,
        outbox,
        timers,
        freshness,
    )
    keeper = ConfigurationKeeper(
        parameters,
        randomness,
        outbox,
        timers,
        store,
        membership,
    )
    ownership = OwnershipView(membership, keeper)
    peers = PeerMessenger(membership, outbox)
    crashes = CrashRegister(parameters, outbox, timers, membership)
    selector = TargetSelector(randomness)
    attempts = AttemptTable(parameters, timers, peers, selector)
    sender = ShardSender(
        timers,
        keeper,
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
        freshness=freshness,
        store=store,
        membership=membership,
        keeper=keeper,
        commands=OperatorCommands(outbox, timers, store, membership, keeper),
        surveys=InForceSurveys(outbox, timers, membership),
        peers=peers,
        crashes=crashes,
        attempts=attempts,
        owner=TargetOwner(
            parameters,
            outbox,
            timers,
            membership,
            keeper,
            ownership,
            peers,
            crashes,
            may_start_work,
        ),
        queries=QueryRunner(
            parameters,
            outbox,
            timers,
            keeper,
            crashes,
            selector,
            attempts,
            sender,
        ),
        one_time=CommandRunner(
            parameters,
            outbox,
            timers,
            keeper,
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
            keeper,
            ownership,
            peers,
            seeds,
        ),
    )
