"""Size of state and time of recomputing it as the fleet grows."""

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

#: Data centres at design size, and regions.
DATA_CENTRES = 7
REGIONS = 3
#: Hosts at design size.
DESIGN_HOSTS = 620


def document_of(targets: int) -> Configuration:
    """Build a document with ``targets`` targets, three for a service."""
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


def members_of(hosts: int) -> tuple[Member, ...]:
    """Build the records of ``hosts`` members."""
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
    """Give the size of an encoded document."""
    return len(msgspec.msgpack.encode(document_of(targets)))


def sync_bytes(hosts: int) -> float:
    """Give the size of the member list that a joining host gets."""
    return len(encode_message(SyncReply('entry-0000', members_of(hosts), 1)))


def ownership_ms(targets: int) -> float:
    """Give the time to take up targets after a change of view, in ms."""
    core = _core(DESIGN_HOSTS)
    core.configuration.adopt_document(document_of(targets))
    started = time.process_time()
    core.take_effects()
    return 1000 * (time.process_time() - started)


def core_kilobytes(targets: int) -> float:
    """Give the memory of one core at 620 hosts, in kB."""
    document = document_of(targets)
    tracemalloc.start()
    core = _core(DESIGN_HOSTS)
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
    """Give the size of a journal head with ``claims`` claims."""
    randomness = random.Random(1)
    head = JournalHead(
        tuple(
            Claim(
                randomness.randbytes(18).hex(),
                randomness.getrandbits(64),
                f'entry-0001/1700000000000/{number}',
                1_700_000_000_000,
            )
            for number in range(claims)
        ),
    )
    return len(msgspec.msgpack.encode(head))


def _core(hosts: int) -> NodeCore:
    core = NodeCore(
        Identity('entry-0000', 'g', 'd', 'dc-0', 1_700_000_000_000),
        Parameters(),
        random.Random(1),
        0,
    )
    core.membership.merge(members_of(hosts))
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
