"""Builders of messages between hosts."""

from oriolestage.entry._peer_messages import GatherRequest

SERVICES = tuple(f'shard-{number}' for number in range(4))


def make_gather_request(**changes: object) -> GatherRequest:
    """Return a request for four shards, with changed fields."""
    fields: dict[str, object] = {
        'number': 0,
        'request_id': 'a',
        'route': 'r',
        'method': 'GET',
        'path': '/x',
        'headers': (),
        'body': b'asked',
        'services': SERVICES,
        'regions': (),
        'top_records': 2,
        'merged': True,
        'floor': b'',
        'late_s': 0.2,
        'work_s': 0.01,
        'time_left_s': 2.0,
        **changes,
    }
    return GatherRequest(**fields)  # type: ignore[arg-type]
