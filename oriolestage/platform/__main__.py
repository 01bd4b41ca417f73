"""Program of an entry host: ``python3 -m oriolestage.platform``."""

import gc
import sys


def main() -> int:
    """Run an entry host and return the exit code."""
    # Garbage collections during the imports take a fifth of the start-up
    # time, and after a kill the host serves again only once it has started.
    gc.disable()
    from oriolestage.platform._program import run_program  # noqa: PLC0415

    return run_program()


if __name__ == '__main__':
    sys.exit(main())
