"""Command line of the daemon, ``oriolestaged``."""

import sys
from pathlib import Path
from typing import Annotated

import cyclopts

from oriolestage._event_loop import disable_io_uring
from oriolestage._logging import start_logging
from oriolestage.daemon import SettingsError, load_settings

#: Exit code for an unusable settings file.
EXIT_BAD_SETTINGS = 2

app = cyclopts.App(
    name='oriolestaged',
    help='Run one entry host of the query tier.',
)


@app.default
def serve(
    settings: Annotated[
        Path,
        cyclopts.Parameter(help='YAML file with the settings.'),
    ],
    *,
    check: Annotated[
        bool,
        cyclopts.Parameter(help='Check the settings and stop.'),
    ] = False,
) -> int:
    """Serve callers until SIGTERM, then finish open requests and stop."""
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        sys.stderr.write(f'oriolestaged: {error}\n')
        return EXIT_BAD_SETTINGS
    if check:
        return 0
    disable_io_uring()
    start_logging()
    # Imported late: uvloop reads the variable set above when it makes a loop.
    import uvloop  # noqa: PLC0415

    from oriolestage.daemon._composition import run_daemon  # noqa: PLC0415

    try:
        return uvloop.run(run_daemon(loaded))
    except SettingsError as error:
        sys.stderr.write(f'oriolestaged: {error}\n')
        return EXIT_BAD_SETTINGS


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(app(result_action='return_value'))


if __name__ == '__main__':
    main()
