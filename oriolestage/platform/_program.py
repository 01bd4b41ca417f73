"""Start of an entry host: settings, listening socket, imports, run."""

import functools
import gc
import os
import sys
from pathlib import Path

from oriolestage._event_loop import disable_io_uring
from oriolestage._logging import log_event, start_logging
from oriolestage.entry._listening import listen_on
from oriolestage.entry._settings import EntrySettings, EntrySettingsError
from oriolestage.platform._settings import load_settings, settings_path

#: Exit code for invalid settings.
EXIT_BAD_SETTINGS = 2

#: Environment variable with the path of the trusted certificates. The HTTP
#: library loads them when it is imported, which takes 0.1 s; nothing here uses
#: TLS.
CERTIFICATES_VARIABLE = 'SSL_CERT_FILE'


def run_program() -> int:
    """Run an entry host until it stops and return the exit code.

    Expects garbage collection to be disabled and enables it after the imports.
    """
    try:
        path = settings_path()
        settings = load_settings(path)
        # Listen before the remaining imports, which take 0.15 s. Connections
        # of callers wait in the backlog meanwhile; if all hosts were killed,
        # no other host would accept them.
        caller_listener = listen_on(settings.caller_address)
    except EntrySettingsError as error:
        sys.stderr.write(f'oriolestage: {error}\n')
        return EXIT_BAD_SETTINGS
    disable_io_uring()
    os.environ[CERTIFICATES_VARIABLE] = os.devnull
    start_logging()
    # Imported only now, because uvloop reads its environment variable early.
    import uvloop  # noqa: PLC0415

    from oriolestage.entry._composition import (  # noqa: PLC0415
        run_entry_host,
    )
    from oriolestage.platform._store import StoreClient  # noqa: PLC0415
    from oriolestage.platform._wire_protocol import (  # noqa: PLC0415
        PlatformWireProtocol,
    )

    # Imported objects live as long as the process: exclude them from
    # collections.
    gc.freeze()
    gc.enable()
    try:
        return uvloop.run(
            run_entry_host(
                settings,
                StoreClient(settings.store_address),
                PlatformWireProtocol(),
                functools.partial(_reload, path, settings),
                caller_listener,
            ),
        )
    except EntrySettingsError as error:
        log_event('start_failed', {'step': 'start', 'error': error})
        return EXIT_BAD_SETTINGS


def _reload(path: Path, settings: EntrySettings) -> None:
    """Check the settings file again and log whether it has changed.

    Changes take effect only with the next start.
    """
    try:
        changed = load_settings(path) != settings
    except EntrySettingsError as error:
        log_event('reload_failed', {'step': 'reload', 'error': error})
        return
    log_event('reloaded', {'step': 'reload', 'changed': changed})
