"""Starts an entry host with the settings that the platform names."""

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

#: Exit code for settings that cannot be used.
EXIT_BAD_SETTINGS = 2

#: The HTTP library reads the certificates of all authorities when it is
#: imported, which takes a tenth of a second; nothing here uses TLS.
CERTIFICATES_VARIABLE = 'SSL_CERT_FILE'


def run_program() -> int:
    """Run an entry host; give the exit code.

    Garbage collection is off when it is called and on afterwards.
    """
    try:
        path = settings_path()
        settings = load_settings(path)
        # Callers that come while the rest is imported wait for 0.15 s; when
        # all hosts were killed, no other host takes them meanwhile.
        callers = listen_on(settings.caller_address)
    except EntrySettingsError as error:
        sys.stderr.write(f'oriolestage: {error}\n')
        return EXIT_BAD_SETTINGS
    disable_io_uring()
    os.environ[CERTIFICATES_VARIABLE] = os.devnull
    start_logging()
    # Imported late, because the loop's library reads its switch early.
    import uvloop  # noqa: PLC0415

    from oriolestage.entry._composition import (  # noqa: PLC0415
        run_entry_host,
    )
    from oriolestage.platform._wire_protocol import (  # noqa: PLC0415
        PlatformWireProtocol,
    )
    from oriolestage.platform._store import StoreClient  # noqa: PLC0415

    # What was imported lives as long as the process.
    gc.freeze()
    gc.enable()
    try:
        return uvloop.run(
            run_entry_host(
                settings,
                StoreClient(settings.store_address),
                PlatformWireProtocol(),
                functools.partial(_reload, path, settings),
                callers,
            ),
        )
    except EntrySettingsError as error:
        log_event('start_failed', {'step': 'start', 'error': error})
        return EXIT_BAD_SETTINGS


def _reload(path: Path, settings: EntrySettings) -> None:
    """Check the settings file again; its addresses hold until a stop."""
    try:
        changed = load_settings(path) != settings
    except EntrySettingsError as error:
        log_event('reload_failed', {'step': 'reload', 'error': error})
        return
    log_event('reloaded', {'step': 'reload', 'changed': changed})
