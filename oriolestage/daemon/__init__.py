"""The daemon that runs on each entry host."""

from oriolestage.daemon._settings import (
    Settings,
    SettingsError,
    load_settings,
)

__all__ = (
    'Settings',
    'SettingsError',
    'load_settings',
)
