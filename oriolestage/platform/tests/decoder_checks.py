"""Properties of all decoders of bytes from outside."""

import base64
import contextlib
import tempfile
import time
from pathlib import Path

from oriolestage._addresses import Address, parse_address
from oriolestage.entry._settings import EntrySettings, EntrySettingsError
from oriolestage.platform._documents import (
    decode_item,
    decode_removal,
    decode_value,
)
from oriolestage.platform._settings import load_settings
from oriolestage.platform._wire_protocol import MAX_REST_S, PlatformWireProtocol
from oriolestage.platform.tests.cluster_states import make_state_and_directory
from oriolestage.platform.tests.stored_items import make_registration
from oriolestage.routing._facts import (
    ConfigurationStored,
    StoredFact,
    TargetStored,
    UnreadableItem,
)
from oriolestage.routing._rate_shares import HostRank, share_of
from oriolestage.routing._request_results import min_parts
from oriolestage.routing._rules import (
    RoutingTable,
    ShardGroup,
    WeightedServices,
)
from oriolestage.routing._weights import WeightedRoundRobin

#: Processor time within which any one message is decoded, in seconds.
DECODING_LIMIT_S = 1.0
GOOD_KEY = 'servers/i-good'


def check_item(key: str, content: bytes) -> None:
    """Check that an item is read, and that the next one is read after it."""
    started = time.process_time()
    fact = decode_item(key, content)
    assert time.process_time() - started < DECODING_LIMIT_S
    assert fact is None or isinstance(fact, StoredFact)
    if isinstance(fact, UnreadableItem):
        assert fact.problem
    text = base64.b64encode(content).decode()
    assert repr(decode_value(key, text)) == repr(fact)
    _check_applied(fact, decode_removal(key))


def check_value(key: str, value: object) -> None:
    """Check that a value that is no base64 text is no error."""
    fact = decode_value(key, value)
    assert fact is None or isinstance(fact, StoredFact)
    _check_applied(fact, None)


def check_headers(text: str) -> None:
    """Check that a header is read, or raises a ``ValueError``."""
    protocol = PlatformWireProtocol()
    with contextlib.suppress(ValueError):
        metadata = protocol.request_metadata({'Deadline-Ms': text})
        assert metadata.time_left_s is not None
        protocol.target_headers((), 'i-1', metadata.time_left_s)
    with contextlib.suppress(ValueError):
        metadata = protocol.request_metadata({'Attempt-Id': text})
        assert metadata.request_id == text
    with contextlib.suppress(ValueError):
        limit = protocol.rate_limit({'Server-Limit': text})
        assert limit is not None
        _check_limit(limit)
    with contextlib.suppress(ValueError):
        rest_s = protocol.rest_s(503, {'Retry-After': text})
        assert 0 <= rest_s <= MAX_REST_S
    with contextlib.suppress(ValueError):
        protocol.leaving({'Server-Leaving': text})
    signature = protocol.signature({'Server-Stamp': text})
    assert signature in {text, ''}
    with contextlib.suppress(ValueError):
        assert isinstance(parse_address(text), Address)


def check_settings(text: str) -> None:
    """Check that a settings file is read, or is reported as invalid."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'local.yaml'
        path.write_text(text, 'utf-8', 'surrogatepass')
        with contextlib.suppress(EntrySettingsError):
            assert isinstance(load_settings(path), EntrySettings)


def _check_applied(fact: StoredFact | None, removal: StoredFact | None) -> None:
    """Check that facts are applied and a following good one as well."""
    good = decode_item(GOOD_KEY, make_registration())
    assert isinstance(good, TargetStored)
    facts = [each for each in (fact, removal, fact) if each is not None]
    state, directory = make_state_and_directory()
    for each in (*facts, good):
        state.apply(each, 1)
    assert directory.find('i-good') is not None
    state.replace_all((*facts, good), 2)
    state.expire(100)
    assert directory.find('i-good') is not None
    if isinstance(fact, ConfigurationStored):
        assert state.table is not None
        _check_table(fact.table)


def _check_limit(limit: float) -> None:
    for rank in (HostRank(0, 1, 0, 1), HostRank(None, 2, 1, 4)):
        share = share_of(limit, rank)
        assert share.interval_s > 0


def _check_table(table: RoutingTable) -> None:
    """Check that requests can be routed by a table."""
    weights = WeightedRoundRobin()
    for host, rules in table.rules.items():
        for rule in rules:
            table.find(host, rule.path_prefix)
            assert rule.timeout_s >= 0
            match rule.destination:
                case ShardGroup(services=services) as group:
                    assert min_parts(group, len(services)) >= 1
                case WeightedServices(choices=choices):
                    assert weights.next_service(rule.name, choices)
