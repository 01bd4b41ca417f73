"""Measures the size of state and the time to recompute ownership."""

import random
import time
import tracemalloc

import msgspec

from oriolestage.core import (
    Configuration,
    DataCentre,
    Identity,
    Member,
    NodeCore,
    Parameters,
    Route,
    Service,
    Target,
    encode_message,
)
from oriolestage.core._messages import SyncReply
from oriolestage.core.keys._claims import (
    Claim,
    JournalHead,
)

#: Number of data centres and of regions at design size.
DATA_CENTRES = 7
REGIONS = 3
#: Number of hosts at design size.
DESIGN_HOSTS = 620


def build_document(targets: int) -> Configuration:
    """Build a configuration with ``targets`` targets, three per service."""
    return Configuration(
        revision=1,
        data_centres=tuple(
            DataCentre(f'dc-{number}', f'region-{number % REGIONS}')
            for number in range(DATA_CENTRES)
        ),
        services=tuple(
            Service(f'service-{number:04d}', 'search')
            for number in range(targets // 3 + 1)
        ),
        targets=tuple(
            Target(
                f'service-{number // 3:04d}-{number % 3}',
                f'service-{number // 3:04d}',
                f'dc-{number % DATA_CENTRES}',
                f'10.0.{number // 250}.{number % 250}:7200',
                2,
                25,
            )
            for number in range(targets)
        ),
        routes=(Route('search', 'search'),),
    )


def build_members(hosts: int) -> tuple[Member, ...]:
    """Build the membership records of ``hosts`` hosts."""
    return tuple(
        Member(
            f'entry-{number:04d}',
            f'10.1.{number // 250}.{number % 250}:7003',
            f'10.1.{number // 250}.{number % 250}:7004',
            f'dc-{number % DATA_CENTRES}',
            1_700_000_000_000 + number,
        )
        for number in range(hosts)
    )


def document_bytes(targets: int) -> float:
    """Return the size of an encoded configuration, in bytes."""
    return len(msgspec.msgpack.encode(build_document(targets)))


def sync_bytes(hosts: int) -> float:
    """Return the size of the member list sent to a joining host, in bytes."""
    return len(encode_message(SyncReply('entry-0000', build_members(hosts), 1)))


def ownership_ms(targets: int) -> float:
    """Return the time to acquire targets after a new configuration, in ms."""
    core = _build_core(DESIGN_HOSTS)
    core.configuration.adopt_document(build_document(targets))
    started_at = time.process_time()
    core.take_effects()
    return 1000 * (time.process_time() - started_at)


def core_kilobytes(targets: int) -> float:
    """Return the memory of one core at ``DESIGN_HOSTS`` hosts, in KiB."""
    document = build_document(targets)
    tracemalloc.start()
    core = _build_core(DESIGN_HOSTS)
    core.configuration.adopt_document(
        msgspec.msgpack.decode(
            msgspec.msgpack.encode(document),
            type=Configuration,
        ),
    )
    core.take_effects()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def journal_bytes(claims: int) -> float:
    """Return the size of a journal head with ``claims`` claims, in bytes."""
    rng = random.Random(1)
    head = JournalHead(
        tuple(
            Claim(
                rng.randbytes(18).hex(),
                rng.getrandbits(64),
                f'entry-0001/1700000000000/{number}',
                1_700_000_000_000,
            )
            for number in range(claims)
        ),
    )
    return len(msgspec.msgpack.encode(head))


def _build_core(hosts: int) -> NodeCore:
    core = NodeCore(
        Identity('entry-0000', 'g', 'd', 'dc-0', 1_700_000_000_000),
        Parameters(),
        random.Random(1),
        0,
    )
    core.membership.merge(build_members(hosts))
    return core


MEASURES = (
    ('document in bytes, n targets', (33, 330, 3300), document_bytes),
    ('member list in bytes, n hosts', (6, 62, 620), sync_bytes),
    (
        'time of a change of view at 620 hosts in ms, n targets',
        (33, 330, 3300),
        ownership_ms,
    ),
    (
        'memory of a core at 620 hosts in kB, n targets',
        (33, 330, 3300),
        core_kilobytes,
    ),
    ('journal head in bytes, n claims', (10, 100, 1000), journal_bytes),
)
