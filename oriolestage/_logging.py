"""Log lines of key=value pairs, one for each event."""

import json
import sys
from collections.abc import Mapping

from absl import logging

#: Characters that make a value need quotes.
QUOTED_CHARACTERS = frozenset(' ="\n\r\t')


def start_logging() -> None:
    """Send log lines to standard error."""
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    logging.set_verbosity(logging.INFO)


def log_event(event: str, fields: Mapping[str, object]) -> None:
    """Write one event as key=value pairs."""
    pairs = [f'event={event}']
    for name, content in fields.items():
        pairs.append(f'{name}={_quoted(content)}')
    logging.info('%s', ' '.join(pairs))


def _quoted(content: object) -> str:
    text = str(content)
    if not text or QUOTED_CHARACTERS.intersection(text):
        return json.dumps(text)
    return text
