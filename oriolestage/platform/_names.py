"""Names shared with the platform: headers, paths, keys and variables."""

#: Identifies an attempt of the caller; a response may repeat it.
REQUEST_ID_HEADER = 'Attempt-Id'
#: Time left for a request when it is sent, in milliseconds.
DEADLINE_HEADER = 'Deadline-Ms'
#: Signature by which a caller tells which target answered.
SIGNATURE_HEADER = 'Server-Stamp'
#: Carries the key of the caller's account, after `KEY_SCHEME`.
KEY_HEADER = 'Authorization'
#: Scheme of a key, compared without regard to case (RFC 9110, section 11.1).
KEY_SCHEME = 'Bearer'
#: Asks a caller for a key (RFC 9110, section 11.6.1).
CHALLENGE_HEADER = 'WWW-Authenticate'
#: Name of the caller's account, in requests to targets.
ACCOUNT_HEADER = 'Tenant'
#: Identity of the only target that may run the request.
TARGET_HEADER = 'Target-Instance'
#: Present if the target certainly did not run the request.
NOT_RUN_HEADER = 'Not-Executed'
#: Requests per second that the target takes from all hosts together, as a
#: decimal number; absent if it states no limit.
RATE_LIMIT_HEADER = 'Server-Limit'
#: '1' if the target is about to leave; it takes no new work then.
LEAVING_HEADER = 'Server-Leaving'
#: Time after which to send a request again, in seconds, in refusals to callers
#: and in those of targets. It may have a fraction.
RETRY_AFTER_HEADER = 'Retry-After'
#: In answers of the store: rises by one each time that the store has returned
#: to an older copy of its content.
STORE_ERA_HEADER = 'Store-Era'
#: Signatures of the shard answers that were merged.
SHARD_SIGNATURES_HEADER = 'Part-Stamps'
#: Number of shards that a merged answer leaves out.
MISSING_SHARDS_HEADER = 'Missing-Shards'

#: Paths of the HTTP calls to the store.
STORE_RANGE_PATH = '/oriolestage/kv-range'
STORE_WATCH_PATH = '/oriolestage/kv-watch'
STORE_WRITE_PATH = '/oriolestage/kv-txn'
LEASE_PATH = '/oriolestage/kv-lease'
LEASE_RENEW_PATH = '/oriolestage/kv-keep'
LEASE_END_PATH = '/oriolestage/kv-lease-end'

#: Key of the configuration, which operators write.
CONFIGURATION_KEY = 'op/config'
#: Prefix of a key that exists while a data centre is out of service.
CLOSED_DATA_CENTRE_PREFIX = 'op/evacuate/'
#: Prefix of the registrations of targets.
TARGET_PREFIX = 'servers/'
#: Prefixes of keys that entry hosts write: their registrations and crash
#: reports. The platform does not fix the layout of these.
HOST_PREFIX = 'hosts/'
CRASH_PREFIX = 'crashes/'

#: Prefix of the orders of roll-outs, which operators write.
ROLLOUT_ORDER_PREFIX = 'op/rollout/'
#: Prefix of the statuses of roll-outs, which hosts write and operators read.
ROLLOUT_STATUS_PREFIX = 'status/rollout/'
#: Prefix of the counters of hosts for roll-outs, by service and host.
ROLLOUT_EVIDENCE_PREFIX = 'rollouts/'

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'ORIOLESTAGE_SETTINGS'
#: Environment variable that turns the pacing of targets on.
TARGET_PACING_VARIABLE = 'ORIOLESTAGE_TARGET_PACING'
