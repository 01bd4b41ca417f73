"""Builders of items as they are in the store, good and odd ones."""

import json
from collections.abc import Mapping

import msgspec

#: Lists within lists that exceed the depth that the decoder can follow.
DEEP_NESTING = 1500
#: A whole number that no arithmetic with floating-point numbers can take.
HUGE = int('9' * 400)

ROUTE: Mapping[str, object] = {  # noqa: WPS407
    'name': 'r-1',
    'host': 'search.example',
    'pathPrefix': '/a/',
    'routeType': 'idempotent',
    'timeoutMs': 1200,
    'targetLatencyMs': 124,
    'priority': 2,
    'maxAttempts': 2,
    'allowedRegions': ['north'],
    'service': 's-1',
}
SERVICE: Mapping[str, object] = {  # noqa: WPS407
    'name': 's-1',
    'maxConnections': 25,
    'warmupPerS': 3.5,
}
LIMITS: Mapping[str, object] = {  # noqa: WPS407
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 262_144,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15_000,
}
REGISTRATION: Mapping[str, object] = {  # noqa: WPS407
    'service': 's-1',
    'address': '10.0.0.1:80',
    'zone': 'dc-a',
    'version': 'v1',
    'concurrencyLimit': 2,
    'state': 'ready',
    'warmupLeftMs': 1500,
    'sequence': 4,
    'born': 77,
}
HOST: Mapping[str, object] = {  # noqa: WPS407
    'data_centre': 'dc-a',
    'peer_address': '10.0.0.2:7380',
}


def make_registration(**changes: object) -> bytes:
    """Return the registration of a target."""
    return json.dumps({**REGISTRATION, **changes}).encode()


def make_host(**changes: object) -> bytes:
    """Return the registration of an entry host."""
    return json.dumps({**HOST, **changes}).encode()


def make_configuration(
    route: Mapping[str, object] | None = None,
    service: Mapping[str, object] | None = None,
    limits: Mapping[str, object] | None = None,
    **changes: object,
) -> bytes:
    """Return a configuration with one route, changed as given."""
    document = {
        'version': 7,
        'routes': [{**ROUTE, **(route or {})}],
        'services': [{**SERVICE, **(service or {})}],
        'limits': {**LIMITS, **(limits or {})},
        **changes,
    }
    return json.dumps(document).encode()


def with_deep_field(encoded: bytes, depth: int = DEEP_NESTING) -> bytes:
    """Return a JSON object with one more field, of lists within lists."""
    nested = b'['.ljust(depth, b'[') + b']'.ljust(depth, b']')
    return b''.join((encoded[:-1], b', "extra": ', nested, b'}'))


def as_json(encoded: bytes) -> msgspec.Raw:
    """Return a document that is written to a store as these bytes."""
    return msgspec.Raw(encoded)
