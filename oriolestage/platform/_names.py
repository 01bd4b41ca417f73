"""Names on the platform's wire."""

REQUEST_ID_HEADER = 'Attempt-Id'
DEADLINE_HEADER = 'Deadline-Ms'
SIGNATURE_HEADER = 'Server-Stamp'
TARGET_HEADER = 'Target-Instance'
NOT_RUN_HEADER = 'Not-Executed'
RETRY_AFTER_HEADER = 'Retry-After'
SHARD_SIGNATURES_HEADER = 'Part-Stamps'
MISSING_SHARDS_HEADER = 'Missing-Shards'

STORE_RANGE_PATH = '/oriolestage/kv-range'
STORE_WATCH_PATH = '/oriolestage/kv-watch'
STORE_WRITE_PATH = '/oriolestage/kv-txn'
LEASE_PATH = '/oriolestage/kv-lease'
LEASE_RENEW_PATH = '/oriolestage/kv-keep'
LEASE_END_PATH = '/oriolestage/kv-lease-end'

CONFIGURATION_KEY = 'op/config'
CLOSED_DATA_CENTRE_PREFIX = 'op/evacuate/'
TARGET_PREFIX = 'servers/'
#: Keys of our own; the platform leaves their layout to us.
HOST_PREFIX = 'hosts/'
CRASH_PREFIX = 'crashes/'

SETTINGS_VARIABLE = 'ORIOLESTAGE_SETTINGS'
