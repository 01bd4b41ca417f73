"""Chooses the event loop for the programs of this package."""

import os

#: Read by uvloop when a loop is created; the platform forbids io_uring.
IO_URING_VARIABLE = 'UV_USE_IO_URING'


def disable_io_uring() -> None:
    """Keep uvloop from using io_uring; call before any loop is made."""
    os.environ[IO_URING_VARIABLE] = '0'
