"""Tunable durations and limits of the decision core."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a host is; learned from its settings."""

    name: str
    gossip_address: str
    data_address: str
    data_centre: str
    #: Start of the process in milliseconds since the epoch.
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Durations in seconds unless the name says otherwise."""

    #: Time between two probes of a host.
    probe_period_s: float = 0.5
    #: Time after which an unanswered probe is relayed by others.
    probe_timeout_s: float = 0.2
    #: Members asked to relay a probe.
    relay_count: int = 3
    #: Time that a suspected member has to refute.
    suspicion_s: float = 1.5
    #: Time between attempts to reach dead members again.
    dead_probe_period_s: float = 3.0
    #: Member news carried by one probe.
    updates_per_probe: int = 6
    #: Members told at once of a new revision or a lost target.
    announce_fanout: int = 4
    #: Hosts for each data centre that watch the store.
    readers_per_data_centre: int = 2
    #: A configuration not confirmed for this long stops new work.
    freshness_limit_s: float = 3.0
    #: Time between reads of the host list by a watching host.
    host_list_period_s: float = 5.0
    #: A tick this late means that the process was paused.
    pause_limit_s: float = 1.0
    #: Time between two ticks that detect a pause.
    tick_period_s: float = 0.1
    #: Longest wait for the former owner of a target.
    takeover_wait_s: float = 1.0
    #: Requests in flight that any cold target is trusted to carry.
    cold_limit: int = 1
    #: Answers without a failure before a cold target gets one more slot.
    ramp_successes: int = 8
    #: Time that a target lost in a crash is left alone at first.
    lost_backoff_s: float = 0.5
    #: Longest time that a lost target is left alone.
    lost_backoff_limit_s: float = 5.0
    #: Time between looks at the status page of a leaving target.
    leaving_probe_period_s: float = 2.0
    #: Requests that one target's queue holds.
    queue_limit: int = 64
    #: Share of extra shard requests that hedges and retries may add.
    extra_load_share: float = 0.1
    #: Extra shard requests that may be saved up.
    extra_load_burst: float = 20.0
    #: Dispatches of one shard within one query, refusals included.
    attempts_per_shard: int = 6
    #: Shortest delay before a hedge.
    min_hedge_delay_s: float = 0.005
    #: Time without a reply after which an owner is avoided.
    silence_limit_s: float = 0.15
    #: Distinct targets lost by one fingerprint before it is quarantined.
    quarantine_threshold: int = 2
    #: Time for which a fingerprint stays quarantined.
    quarantine_s: float = 60.0
    #: Journals that share the idempotency keys.
    key_slices: int = 8
    #: Shortest time between two writes of one journal.
    journal_period_s: float = 0.025
    #: Claims that the head of a journal holds before it is sealed.
    journal_head_claims: int = 200
    #: Time for which a key is remembered.
    key_retention_s: float = 600.0
    #: Configuration records between two snapshots in the store.
    snapshot_interval: int = 50
