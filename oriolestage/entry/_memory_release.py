"""Returns the memory of objects that are not used any more to the system."""

import ctypes
import gc


def release_memory() -> None:
    """Collect reference cycles and return free pages to the system.

    Cancelled tasks refer to themselves through their tracebacks, which keep
    bodies alive until a collection. The allocator of the C library keeps pages
    between blocks that are in use, unless it is asked to return them.
    """
    gc.collect()
    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
