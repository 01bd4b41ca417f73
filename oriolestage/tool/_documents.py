"""Reads and writes configuration documents as YAML."""

from pathlib import Path

import msgspec
import yaml

from oriolestage._yaml_files import YamlFileError, load_yaml_file
from oriolestage.core import (
    ChangeRefusedError,
    Configuration,
    check_document,
    check_new_addresses,
)


def load_document(path: Path) -> Configuration:
    """Read and validate a document.

    Raise :class:`ChangeRefusedError` if it cannot be read or is invalid.
    """
    try:
        document = load_yaml_file(path, Configuration)
    except YamlFileError as error:
        raise ChangeRefusedError(f'{path}: {error}') from error
    try:
        check_document(document)
        check_new_addresses(Configuration(), document)
    except ChangeRefusedError as error:
        raise ChangeRefusedError(f'{path}: {error}') from error
    return document


def dump_document(document: Configuration) -> str:
    """Return a document as YAML text."""
    return yaml.safe_dump(msgspec.to_builtins(document), sort_keys=False)
