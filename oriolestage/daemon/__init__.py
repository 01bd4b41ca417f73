"""The daemon of the query tier, one process on each entry host.

It does the I/O for the decision core in ``oriolestage.core``: it receives
requests and messages, passes them to the core as events, and executes the
effects that the core returns.
"""

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
