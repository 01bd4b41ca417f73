"""The platform's settings file."""

import os
from collections.abc import Mapping
from pathlib import Path

import msgspec
import yaml

from oriolestage.entry._settings import EntrySettings, EntrySettingsError
from oriolestage.platform import _names
from oriolestage.relay._placement_types import HostLocation
from oriolestage.relay._retry_budget import BudgetBounds
from oriolestage.relay._warm_up import WarmUpBounds

MS_PER_S = 1000
#: Port of the metrics; the deploy file names it too.
METRICS_PORT = 9464


class _Endpoints(msgspec.Struct, frozen=True):
    # The address for callers.
    front: str
    ready: str


class _Bounds(msgspec.Struct, frozen=True, rename='camel'):
    grace_s: float
    contact_ms: float = 5000
    retry_budget: float = 0.2
    budget_window_s: float = msgspec.field(default=10, name='budgetWindowS')
    retry_slack: float = 52
    warmup_overage: float = 1.5
    warmup_slack: float = 5


class _Platform(msgspec.Struct, frozen=True):
    address: str


class _Settings(msgspec.Struct, frozen=True, rename='camel'):
    node_name: str
    ip: str
    # The platform says zone for a data centre.
    zone: str
    zones: Mapping[str, str]
    endpoints: _Endpoints
    port_range: tuple[int, int]
    bounds: _Bounds
    platform: _Platform


def settings_path() -> Path:
    """Give the path of the settings file that the platform names."""
    path = os.environ.get(_names.SETTINGS_VARIABLE)
    if not path:
        raise EntrySettingsError(f'{_names.SETTINGS_VARIABLE} is not set')
    return Path(path)


def load_settings(path: Path) -> EntrySettings:
    """Read the settings file; raises :class:`EntrySettingsError`."""
    try:
        content = yaml.safe_load(path.read_text('utf-8'))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        location = ' '.join(str(error).split())
        raise EntrySettingsError(f'{path}: {location}') from error
    try:
        document = msgspec.convert(content, _Settings)
    except msgspec.ValidationError as error:
        raise EntrySettingsError(f'{path}: {error}') from error
    return _translate(document)


def _translate(document: _Settings) -> EntrySettings:
    first_port = document.port_range[0]
    bounds = document.bounds
    return EntrySettings(
        location=HostLocation(
            name=document.node_name,
            data_centre=document.zone,
            regions=dict(document.zones),
        ),
        caller_address=document.endpoints.front,
        ready_address=document.endpoints.ready,
        peer_address=f'{document.ip}:{first_port}',
        metrics_address=f'{document.ip}:{METRICS_PORT}',
        store_address=document.platform.address,
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
    )
