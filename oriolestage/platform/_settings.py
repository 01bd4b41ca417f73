"""Reads the settings file of the platform."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec
import yaml

from oriolestage._addresses import MAX_PORT, MIN_PORT, parse_address
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.entry._settings import EntrySettings, EntrySettingsError
from oriolestage.platform import _names
from oriolestage.rollouts._bounds import RolloutBounds
from oriolestage.routing._placement_types import HostLocation
from oriolestage.routing._retry_budget import BudgetBounds
from oriolestage.routing._warm_up import WarmUpBounds

MS_PER_S = 1000
#: Port of the metrics server. The deploy file repeats it.
METRICS_PORT = 9464
#: Longest duration, in milliseconds: 366 days; and in seconds.
MAX_DURATION_MS = 31_622_400_000
MAX_DURATION_S = MAX_DURATION_MS / MS_PER_S
#: Highest ratio or number of requests that a bound allows.
MAX_REQUESTS = 1_000_000_000.0
#: Bytes in a megabyte of the platform's settings.
BYTES_PER_MB = 1_048_576
#: Most megabytes of memory, and most descriptors.
MAX_MEMORY_MB = 1_048_576
MAX_DESCRIPTORS = 1_048_576
#: Policy of a deployment whose operators order roll-outs.
ROLLOUT_POLICY = 'rollout'
#: Value of the variable that turns the pacing of targets on.
SWITCHED_ON = 'on'

_DurationS = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
_DurationMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_MS)]
_Requests = Annotated[float, msgspec.Meta(ge=0, le=MAX_REQUESTS)]
_Port = Annotated[int, msgspec.Meta(ge=MIN_PORT, le=MAX_PORT)]


class _Endpoints(msgspec.Struct, frozen=True):
    # Address for callers, as ip:port.
    front: str
    # Address for the readiness checks of the balancer, as ip:port.
    ready: str


class _Bounds(msgspec.Struct, frozen=True, rename='camel'):
    # Time between a request to stop and the kill.
    grace_s: _DurationS
    # Time within which a host that reaches the store must know its contents.
    contact_ms: _DurationMs = 5000
    # Extra attempts (retries and hedges) per request.
    retry_budget: _Requests = 0.2
    budget_window_s: _DurationS = msgspec.field(
        default=10, name='budgetWindowS'
    )
    # Extra attempts per window, independent of the number of requests.
    retry_slack: _Requests = 52
    # All hosts together send a cold target at most
    # warmupPerS * warmupOverage + warmupSlack requests per second.
    warmup_overage: _Requests = 1.5
    warmup_slack: _Requests = 5
    # All hosts together let at most (rate * quotaWindowS + burst)
    # * (1 + quotaOverage) + quotaSlack requests of an account run in any
    # window.
    quota_window_s: _DurationS = msgspec.field(default=5, name='quotaWindowS')
    quota_overage: _Requests = 0.1
    quota_slack: _Requests = 20
    # A bad version gets at most this share of its service's requests and
    # canarySlack requests more.
    canary_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    canary_slack: _Requests = 50
    # Time after its 50th bad answer from which it gets no request.
    rollback_ms: _DurationMs = 5000


class _MachineLimits(msgspec.Struct, frozen=True, rename='camel'):
    memory_mb: Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_MB)] | None = (
        None
    )
    # File descriptors of each process.
    max_fds: Annotated[int, msgspec.Meta(ge=1, le=MAX_DESCRIPTORS)] | None = (
        None
    )


class _Platform(msgspec.Struct, frozen=True):
    # Address of the store, as ip:port.
    address: str


class _Settings(msgspec.Struct, frozen=True, rename='camel'):
    node_name: str
    ip: str
    # Zone is the platform's word for a data centre.
    zone: str
    # Region of each data centre.
    zones: Mapping[str, str]
    endpoints: _Endpoints
    # First and last port; requests of other entry hosts go to the first.
    port_range: tuple[_Port, _Port]
    bounds: _Bounds
    platform: _Platform
    limits: _MachineLimits = _MachineLimits()
    # Names of the rules in force.
    policies: tuple[str, ...] = ()


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises :class:`EntrySettingsError` if the environment variable with the
    path is not set.
    """
    path = os.environ.get(_names.SETTINGS_VARIABLE)
    if not path:
        raise EntrySettingsError(f'{_names.SETTINGS_VARIABLE} is not set')
    return Path(path)


def load_settings(path: Path) -> EntrySettings:
    """Read and check the settings file.

    Raises :class:`EntrySettingsError` if it cannot be read or is invalid.
    """
    try:
        content = yaml.safe_load(path.read_text('utf-8'))
    except Exception as error:  # noqa: BLE001 - also RecursionError
        detail = ' '.join(str(error).split())
        raise EntrySettingsError(f'{path}: {detail}') from error
    try:
        return _to_entry_settings(msgspec.convert(content, _Settings))
    except ValueError as error:
        raise EntrySettingsError(f'{path}: {error}') from error


def _to_entry_settings(document: _Settings) -> EntrySettings:
    """Translate the settings.

    Raises ``ValueError`` if one of the addresses is none.
    """
    first_port = document.port_range[0]
    bounds = document.bounds
    return EntrySettings(
        location=HostLocation(
            name=document.node_name,
            data_centre=document.zone,
            regions=dict(document.zones),
        ),
        caller_address=_read_address(
            'endpoints.front', document.endpoints.front
        ),
        ready_address=_read_address(
            'endpoints.ready', document.endpoints.ready
        ),
        peer_address=_read_address('ip', f'{document.ip}:{first_port}'),
        metrics_address=f'{document.ip}:{METRICS_PORT}',
        store_address=_read_address(
            'platform.address', document.platform.address
        ),
        stop_grace_s=bounds.grace_s,
        propagation_limit_s=bounds.contact_ms / MS_PER_S,
        budget=BudgetBounds(
            ratio=bounds.retry_budget,
            window_s=bounds.budget_window_s,
            allowance=bounds.retry_slack,
        ),
        warm_up=WarmUpBounds(
            overage=bounds.warmup_overage,
            slack=bounds.warmup_slack,
        ),
        quota=QuotaBounds(
            window_s=bounds.quota_window_s,
            overage=bounds.quota_overage,
            slack=bounds.quota_slack,
        ),
        rollouts=_read_rollouts(document),
        target_pacing=(
            os.environ.get(_names.TARGET_PACING_VARIABLE) == SWITCHED_ON
        ),
        memory_bytes=(
            None
            if document.limits.memory_mb is None
            else document.limits.memory_mb * BYTES_PER_MB
        ),
        descriptors=document.limits.max_fds,
    )


def _read_rollouts(document: _Settings) -> RolloutBounds | None:
    if ROLLOUT_POLICY not in document.policies:
        return None
    bounds = document.bounds
    return RolloutBounds(
        canary_share=bounds.canary_share,
        canary_slack=bounds.canary_slack,
        rollback_s=bounds.rollback_ms / MS_PER_S,
    )


def _read_address(field: str, text: str) -> str:
    try:
        return str(parse_address(text))
    except ValueError as error:
        raise ValueError(f'{error} - at `$.{field}`') from error
