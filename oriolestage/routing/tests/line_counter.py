"""Counts the lines that code executes, as a repeatable measure of its work."""

import sys
import types
from collections.abc import Callable
from typing import Any


class _LineCounter:
    """Counts the lines executed in files whose name contains a text."""

    def __init__(self, path: str) -> None:
        self.lines = 0
        self._path = path

    def on_event(
        self, frame: types.FrameType, event: str, _: Any
    ) -> Callable[..., Any] | None:
        """Count one event, as a trace function."""
        if self._path not in frame.f_code.co_filename:
            return None
        self.lines += event == 'line'
        return self.on_event


def count_lines(path: str, function: Callable[[], None]) -> int:
    """Call ``function`` and return the lines executed in certain files.

    These are the files whose name contains ``path``.
    """
    counter = _LineCounter(path)
    earlier = sys.gettrace()
    sys.settrace(counter.on_event)
    try:
        function()
    finally:
        sys.settrace(earlier)
    return counter.lines
