"""Tunable durations and limits of the decision core."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Name and addresses of a host, from its settings."""

    name: str
    #: Address for gossip messages, as ``ip:port``.
    gossip_address: str
    #: Address for data streams, as ``ip:port``.
    data_address: str
    data_centre: str
    #: Start of the process in milliseconds since the epoch.
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Tunable parameters of one host, with their defaults.

    Durations are in seconds.
    """

    #: Time between two probes that a host sends.
    probe_period_s: float = 0.5
    #: Time without an answer after which relays are asked to probe.
    probe_timeout_s: float = 0.2
    #: Members asked to relay a probe.
    relay_count: int = 3
    #: Time that a suspected member has to refute the suspicion.
    suspicion_s: float = 1.5
    #: Time between probes of dead members.
    dead_probe_period_s: float = 3.0
    #: Maximum number of member updates, and of crashes, in one probe.
    updates_per_probe: int = 6
    #: Members probed at once to spread an urgent update, such as a new
    #: revision or a lost target.
    announce_fanout: int = 4
    #: Hosts of each data centre that watch the store for new revisions.
    readers_per_data_centre: int = 2
    #: Age of the last confirmation of the configuration above which no new
    #: work is started.
    freshness_limit_s: float = 3.0
    #: Time between reads of the host list by a host that watches the store.
    host_list_period_s: float = 5.0
    #: Time since the last tick above which the process counts as paused.
    pause_limit_s: float = 1.0
    #: Time between two ticks of the pause detection.
    tick_period_s: float = 0.1
    #: Longest time that a new owner waits for the former owner to release
    #: a target.
    takeover_wait_s: float = 1.0
    #: Concurrency limit of a cold target.
    cold_limit: int = 1
    #: Successful answers after which the limit of a target grows by one.
    ramp_successes: int = 8
    #: Initial back-off after a target was lost.
    lost_backoff_s: float = 0.5
    #: Upper bound of the back-off for a lost target.
    lost_backoff_limit_s: float = 5.0
    #: Time between reads of the status page of a leaving target.
    leaving_probe_period_s: float = 2.0
    #: Capacity of the queue of one target, in shard requests.
    queue_limit: int = 64
    #: Hedges and retries allowed, as a share of the needed shard requests.
    extra_load_share: float = 0.1
    #: Hedges and retries that may be saved up for a burst.
    extra_load_burst: float = 20.0
    #: Most dispatches of one shard in a query or command, refusals included.
    attempts_per_shard: int = 6
    #: Minimum delay before a hedge is sent.
    min_hedge_delay_s: float = 0.005
    #: Time without an expected reply after which an owner is avoided.
    silence_limit_s: float = 0.15
    #: Distinct targets lost to one fingerprint before it is quarantined.
    quarantine_threshold: int = 2
    #: Duration of a quarantine.
    quarantine_s: float = 60.0
    #: Journals over which the idempotency keys are partitioned.
    key_slices: int = 8
    #: Minimum time between two writes to one journal.
    journal_period_s: float = 0.025
    #: Claims in the head of a journal at which it is sealed as a segment.
    journal_head_claims: int = 200
    #: Time for which an idempotency key is remembered.
    key_retention_s: float = 600.0
    #: Largest difference between the clocks of two hosts, or of a host and a
    #: caller. Keys and claims are kept and accepted that much longer.
    clock_skew_s: float = 60.0
    #: Configuration revisions between two snapshots in the store.
    snapshot_interval: int = 50
