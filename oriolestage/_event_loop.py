"""Settings of the event loop for the programs of this package."""

import os

#: Environment variable that uvloop reads when it creates a loop. The
#: platform does not allow io_uring.
IO_URING_VARIABLE = 'UV_USE_IO_URING'


def disable_io_uring() -> None:
    """Keep uvloop from using io_uring; call before any loop is created."""
    os.environ[IO_URING_VARIABLE] = '0'
