"""Reading of YAML files of a given type, with one type of error."""

from pathlib import Path
from typing import TypeVar

import msgspec
import yaml

#: Longest text of an error, in characters; it may quote the file.
MAX_ERROR_CHARACTERS = 500

_Content = TypeVar('_Content')


class YamlFileError(ValueError):
    """A file cannot be read or has another type; the message says where."""


def load_yaml_file(path: Path, expected: type[_Content]) -> _Content:
    """Read a file and convert it to a type; raise :class:`YamlFileError`."""
    try:
        return msgspec.convert(_parse(path.read_text('utf-8')), expected)
    except (OSError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise YamlFileError(str(error)[:MAX_ERROR_CHARACTERS]) from error


def _parse(text: str) -> object:
    """Parse YAML.

    Besides its own error, the parser raises ``ValueError`` for dates and
    numbers out of range and ``RecursionError`` for deep nesting.
    """
    try:
        return yaml.safe_load(text)
    except RecursionError as error:
        raise YamlFileError('not YAML: nested too deeply') from error
    except (yaml.YAMLError, ValueError, OverflowError) as error:
        details = ' '.join(str(error).split())
        raise YamlFileError(
            f'not YAML: {details}'[:MAX_ERROR_CHARACTERS],
        ) from error
