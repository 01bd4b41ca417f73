"""Program of an entry host: ``python3 -m oriolestage.platform``."""

import gc
import signal
import sys


def main() -> int:
    """Run an entry host and return the exit code."""
    # By default SIGHUP ends the process. It asks for the settings to be read
    # again, which are read later; while the host runs, it has a handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Garbage collections during the imports take a fifth of the start-up
    # time, and after a kill the host serves again only once it has started.
    gc.disable()
    from oriolestage.platform._program import run_program  # noqa: PLC0415

    exit_code = run_program()
    # The handlers are gone, and the interpreter takes a moment to end.
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
