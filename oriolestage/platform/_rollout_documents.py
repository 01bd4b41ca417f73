"""Decodes and encodes the items of the store about roll-outs.

Operators write the orders; hosts write the statuses and the counters. Unknown
fields are ignored.
"""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Annotated

import msgspec

from oriolestage.platform import _names
from oriolestage.rollouts._counts import LAST_BUCKET, RouteCounts
from oriolestage.rollouts._orders import (
    HostEvidence,
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    RolloutStatus,
)
from oriolestage.routing._facts import (
    EvidenceStored,
    OrderRemoved,
    OrderStored,
    StatusRemoved,
    StatusStored,
    StoredFact,
)

#: Prefixes of the keys about roll-outs.
ROLLOUT_PREFIXES = (
    _names.ROLLOUT_ORDER_PREFIX,
    _names.ROLLOUT_STATUS_PREFIX,
    _names.ROLLOUT_EVIDENCE_PREFIX,
)
#: Longest duration of a roll-out, in seconds: a day.
MAX_DURATION_S = 86_400
#: Largest number of requests or responses that a host may state.
MAX_COUNT = 1_000_000_000

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Bucket = Annotated[int, msgspec.Meta(ge=0, le=LAST_BUCKET)]


class _Order(msgspec.Struct, frozen=True, rename='camel'):
    service: str
    target_version: Annotated[str, msgspec.Meta(min_length=1)]
    duration_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]


class _Status(msgspec.Struct, frozen=True, rename='camel'):
    service: str
    target_version: str
    state: RolloutState
    order: int = 0
    phase: RolloutPhase = RolloutPhase.ENDED
    share: _Share = 0
    phase_since_s: _Seconds = 0
    # None if the full share lasts until the end.
    full_until_s: _Seconds | None = None
    elapsed_s: _Seconds = 0
    reason: str = ''
    requests: _Count = 0
    exposed: _Count = 0
    bad: _Count = 0
    known_versions: tuple[str, ...] = ()
    rejected_versions: tuple[str, ...] = ()


class _Counts(msgspec.Struct, frozen=True, array_like=True):
    responses: _Count
    failures: _Count
    work: dict[_Bucket, _Count]
    abandoned: dict[_Bucket, _Count]


class _Evidence(msgspec.Struct, frozen=True, rename='camel'):
    process: Annotated[str, msgspec.Meta(min_length=1)]
    order: int
    elapsed_s: _Seconds
    requests: _Count
    exposed: _Count
    old: dict[str, _Counts]
    new: dict[str, _Counts]
    ramp: dict[str, _Counts] = {}
    base: dict[str, _Counts] = {}


def decode_rollout_item(key: str, content: bytes, revision: int) -> StoredFact:
    """Decode an order, a status or the counters of a host.

    Raises ``ValueError`` or an error of the decoder if that fails.
    """
    if key.startswith(_names.ROLLOUT_ORDER_PREFIX):
        service = key.removeprefix(_names.ROLLOUT_ORDER_PREFIX)
        order = msgspec.json.decode(content, type=_Order)
        _check_service(order.service, service)
        return OrderStored(
            RolloutOrder(
                service, order.target_version, order.duration_s, revision
            )
        )
    if key.startswith(_names.ROLLOUT_STATUS_PREFIX):
        service = key.removeprefix(_names.ROLLOUT_STATUS_PREFIX)
        status = msgspec.json.decode(content, type=_Status)
        _check_service(status.service, service)
        fields = msgspec.structs.asdict(status)
        if status.full_until_s is None:
            fields['full_until_s'] = math.inf
        return StatusStored(RolloutStatus(**fields, revision=revision))
    return EvidenceStored(_decode_evidence(key, content))


def decode_rollout_removal(key: str) -> StoredFact | None:
    """Decode the removal of an item about a roll-out.

    Return None if an entry host need not act on it.
    """
    if key.startswith(_names.ROLLOUT_ORDER_PREFIX):
        return OrderRemoved(key.removeprefix(_names.ROLLOUT_ORDER_PREFIX))
    if key.startswith(_names.ROLLOUT_STATUS_PREFIX):
        return StatusRemoved(key.removeprefix(_names.ROLLOUT_STATUS_PREFIX))
    return None


def status_key(service: str) -> str:
    """Return the key of the status of a service's roll-out."""
    return f'{_names.ROLLOUT_STATUS_PREFIX}{service}'


def evidence_key(evidence: HostEvidence) -> str:
    """Return the key of the counters of a host."""
    prefix = _names.ROLLOUT_EVIDENCE_PREFIX
    return f'{prefix}{evidence.service}/{evidence.host}'


def encode_status(status: RolloutStatus) -> bytes:
    """Encode the status of a roll-out."""
    return msgspec.json.encode(
        _Status(
            service=status.service,
            target_version=status.target_version,
            state=status.state,
            order=status.order,
            phase=status.phase,
            share=status.share,
            phase_since_s=_limited_s(status.phase_since_s),
            full_until_s=(
                _limited_s(status.full_until_s)
                if math.isfinite(status.full_until_s)
                else None
            ),
            elapsed_s=_limited_s(status.elapsed_s),
            reason=status.reason,
            requests=status.requests,
            exposed=status.exposed,
            bad=status.bad,
            known_versions=status.known_versions,
            rejected_versions=status.rejected_versions,
        )
    )


def encode_evidence(evidence: HostEvidence) -> bytes:
    """Encode the counters of a host."""
    return msgspec.json.encode(
        _Evidence(
            process=evidence.process,
            order=evidence.order,
            elapsed_s=evidence.elapsed_s,
            requests=evidence.requests,
            exposed=evidence.exposed,
            old=_encode_counts(evidence.old),
            new=_encode_counts(evidence.new),
            ramp=_encode_counts(evidence.ramp),
            base=_encode_counts(evidence.base),
        )
    )


def _decode_evidence(key: str, content: bytes) -> HostEvidence:
    path = key.removeprefix(_names.ROLLOUT_EVIDENCE_PREFIX)
    service, _, host = path.rpartition('/')
    if not service or not host:
        raise ValueError(f'key {key!r} without service and host')
    entry = msgspec.json.decode(content, type=_Evidence)
    return HostEvidence(
        service=service,
        host=host,
        process=entry.process,
        order=entry.order,
        elapsed_s=entry.elapsed_s,
        requests=entry.requests,
        exposed=entry.exposed,
        old=_decode_counts(entry.old),
        new=_decode_counts(entry.new),
        ramp=_decode_counts(entry.ramp),
        base=_decode_counts(entry.base),
    )


def _decode_counts(by_route: Mapping[str, _Counts]) -> dict[str, RouteCounts]:
    return {
        route: RouteCounts(
            counts.responses,
            counts.failures,
            Counter(counts.work),
            Counter(counts.abandoned),
        )
        for route, counts in by_route.items()
    }


def _encode_counts(by_route: Mapping[str, RouteCounts]) -> dict[str, _Counts]:
    return {
        route: _Counts(
            counts.responses,
            counts.failures,
            dict(counts.work),
            dict(counts.abandoned),
        )
        for route, counts in by_route.items()
    }


def _limited_s(time_s: float) -> float:
    """Return a time that can be read again.

    The end of an order may be written again days later, if the store lost it.
    """
    return min(time_s, MAX_DURATION_S)


def _check_service(named: str, in_key: str) -> None:
    """Raise an error if an item names another service than its key."""
    if named != in_key:
        raise ValueError(f'service {named!r} under the key of {in_key!r}')
