"""The entry host on the platform: ``python3 -m oriolestage.platform``."""

import gc
import sys


def main() -> int:
    """Run an entry host; give the exit code."""
    # A host that was killed serves again the sooner the less its start takes,
    # and collections during the imports take a fifth of it.
    gc.disable()
    from oriolestage.platform._program import run_program  # noqa: PLC0415

    return run_program()


if __name__ == '__main__':
    sys.exit(main())
