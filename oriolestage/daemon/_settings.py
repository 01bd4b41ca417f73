"""The settings file of the daemon: schema, defaults and validation."""

import re
from pathlib import Path

import msgspec

from oriolestage._yaml_files import YamlFileError, load_yaml_file
from oriolestage.core import is_address

#: Seconds in each unit of a duration.
SECONDS_PER_UNIT = {'ms': 0.001, 's': 1.0, 'min': 60.0}  # noqa: WPS407
_DURATION = re.compile(r'([0-9]{1,9}(?:\.[0-9]{1,9})?)(ms|s|min)')
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
#: Longest duration, in seconds.
MAX_DURATION_S = 86_400.0


class SettingsError(Exception):
    """The settings file is unusable; the message names the key, if any."""


class Listeners(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that the daemon listens on, as ``ip:port``."""

    callers: str
    operators: str
    gossip: str
    data: str


class PlatformSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Addresses of the platform's services, as ``ip:port``."""

    store: str
    host_list: str
    #: Timeout for calls to the store and the host list.
    timeout: str = '1s'


class StopSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Time limits of a planned stop."""

    #: How long to wait for the load balancer to notice that this host is not
    #: ready.
    notice: str = '2s'
    #: Time limit after that for requests in flight to finish.
    deadline: str = '30s'


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the settings file."""

    name: str
    data_centre: str
    listen: Listeners
    platform: PlatformSettings
    #: Addresses that other hosts connect to, if they differ from ``listen``.
    advertise_gossip: str = ''
    advertise_data: str = ''
    #: Gossip addresses of other hosts, contacted while this host sees none
    #: alive; they replace the host list while the platform is down.
    seeds: tuple[str, ...] = ()
    stop: StopSettings = StopSettings()
    #: Largest body of a caller's request, in bytes.
    body_limit: int = 65536
    #: How long the configuration may be used without confirmation, by the
    #: store or by a peer, that it is current.
    freshness_limit: str = '3s'


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raise :class:`SettingsError` if it cannot be read or is invalid.
    """
    try:
        settings = load_yaml_file(path, Settings)
    except YamlFileError as error:
        raise SettingsError(f'{path}: {error}') from error
    try:
        _check(settings)
    except SettingsError as error:
        raise SettingsError(f'{path}: {error}') from error
    return settings


def parse_duration(text: str, key: str) -> float:
    """Return a duration such as ``200ms`` in seconds.

    Raise :class:`SettingsError`, which names ``key``, if it is malformed.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise SettingsError(
            f'{text!r} is not a duration; write a number with ms, s or min, '
            f'such as 200ms - at `$.{key}`',
        )
    duration_s = float(match.group(1)) * SECONDS_PER_UNIT[match.group(2)]
    if duration_s > MAX_DURATION_S:
        raise SettingsError(
            f'{text!r} is longer than {MAX_DURATION_S:.0f} s - at `$.{key}`',
        )
    return duration_s


def _check(settings: Settings) -> None:
    for key in ('name', 'data_centre'):
        if not _NAME.fullmatch(getattr(settings, key)):
            raise SettingsError(
                'not a name; write 1 to 64 letters, digits or any of . _ - '
                f'that begin with a letter or digit - at `$.{key}`',
            )
    for key in Listeners.__struct_fields__:
        _check_address(getattr(settings.listen, key), f'listen.{key}')
    _check_address(settings.platform.store, 'platform.store')
    _check_address(settings.platform.host_list, 'platform.host_list')
    for advertised in ('advertise_gossip', 'advertise_data'):
        if getattr(settings, advertised):
            _check_address(getattr(settings, advertised), advertised)
    for seed in settings.seeds:
        _check_address(seed, 'seeds')
    if not parse_duration(settings.platform.timeout, 'platform.timeout'):
        raise SettingsError('must be above 0 - at `$.platform.timeout`')
    parse_duration(settings.stop.notice, 'stop.notice')
    parse_duration(settings.stop.deadline, 'stop.deadline')
    parse_duration(settings.freshness_limit, 'freshness_limit')
    if settings.body_limit < 1:
        raise SettingsError('must be at least 1 - at `$.body_limit`')


def _check_address(address: str, key: str) -> None:
    if not is_address(address):
        raise SettingsError(
            f'{address!r} is not an address such as 10.0.0.1:8080 '
            f'- at `$.{key}`',
        )
