"""The settings file of the daemon."""

import re
from pathlib import Path

import msgspec
import yaml

#: Units of durations, in seconds.
SECONDS_PER_UNIT = {'ms': 0.001, 's': 1.0, 'min': 60.0}  # noqa: WPS407
_DURATION = re.compile(r'^(\d+(?:\.\d+)?)(ms|s|min)$')
_ADDRESS = re.compile(r'^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$')
_NAME = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
#: Largest TCP port.
MAX_PORT = 65535


class SettingsError(Exception):
    """The settings file cannot be used; the text names the key."""


class Listeners(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that the daemon listens on, each as ``ip:port``."""

    callers: str
    operators: str
    gossip: str
    data: str


class PlatformSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Where the platform's services are, as ``ip:port``."""

    store: str
    host_list: str
    #: Longest wait for an answer of the store.
    timeout: str = '1s'


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a planned stop goes."""

    #: Time for the balancer to notice that this host is not ready.
    notice: str = '2s'
    #: Longest time to finish what is in flight after that.
    deadline: str = '30s'


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that one daemon is told."""

    name: str
    data_centre: str
    listen: Listeners
    platform: PlatformSettings
    #: Addresses that other hosts reach this one at, when they differ.
    advertise_gossip: str = ''
    advertise_data: str = ''
    #: Gossip addresses of hosts to meet when the platform is down.
    seeds: tuple[str, ...] = ()
    stop: StopSettings = StopSettings()
    #: Largest body of a caller's request, in bytes.
    body_limit: int = 65536
    #: How long a configuration that nobody confirms may be used.
    freshness_limit: str = '3s'


def load_settings(path: Path) -> Settings:
    """Read and check a settings file; raises :class:`SettingsError`."""
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error
    try:
        content = yaml.safe_load(text)
    except yaml.YAMLError as error:
        details = ' '.join(str(error).split())
        raise SettingsError(f'{path}: not YAML: {details}') from error
    try:
        settings = msgspec.convert(content, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}') from error
    try:
        _check(settings)
    except SettingsError as error:
        raise SettingsError(f'{path}: {error}') from error
    return settings


def parse_duration(text: str, key: str) -> float:
    """Give a duration such as ``200ms`` in seconds."""
    match = _DURATION.match(text)
    if match is None:
        raise SettingsError(
            f'{text!r} is not a duration; write a number with ms, s or min, '
            f'such as 200ms - at `$.{key}`',
        )
    return float(match.group(1)) * SECONDS_PER_UNIT[match.group(2)]


def _check(settings: Settings) -> None:
    for key in ('name', 'data_centre'):
        if not _NAME.match(getattr(settings, key)):
            raise SettingsError(f'not a name - at `$.{key}`')
    for key in Listeners.__struct_fields__:
        _check_address(getattr(settings.listen, key), f'listen.{key}')
    _check_address(settings.platform.store, 'platform.store')
    _check_address(settings.platform.host_list, 'platform.host_list')
    for seed in settings.seeds:
        _check_address(seed, 'seeds')
    parse_duration(settings.platform.timeout, 'platform.timeout')
    parse_duration(settings.stop.notice, 'stop.notice')
    parse_duration(settings.stop.deadline, 'stop.deadline')
    parse_duration(settings.freshness_limit, 'freshness_limit')
    if settings.body_limit < 1:
        raise SettingsError('must be at least 1 - at `$.body_limit`')


def _check_address(address: str, key: str) -> None:
    match = _ADDRESS.match(address)
    port = int(match.group(1)) if match else 0
    if not 1 <= port <= MAX_PORT:
        raise SettingsError(
            f'{address!r} is not an address such as 10.0.0.1:8080 '
            f'- at `$.{key}`',
        )
