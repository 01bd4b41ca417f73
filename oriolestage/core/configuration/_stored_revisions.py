"""Keys and encoding of the configuration in the store."""

import msgspec

from oriolestage.core._decoding import decode_json, decode_msgpack
from oriolestage.core._errors import MalformedError
from oriolestage.core.configuration._changes import RevisionRecord
from oriolestage.core.configuration._configuration import Configuration

#: Store key of the newest snapshot.
SNAPSHOT_KEY = 'config/snapshot'


def revision_key(revision: int) -> str:
    """Return the store key of a revision."""
    return f'config/revision/{revision:010d}'


def encode_record(record: RevisionRecord) -> bytes:
    """Encode a record as JSON for the store."""
    return msgspec.json.encode(record)


def decode_record(content: bytes, revision: int) -> RevisionRecord:
    """Decode the record of a revision key.

    Raises `MalformedError`, also for a record of another revision.
    """
    record = decode_json(content, RevisionRecord)
    if record.revision != revision:
        raise MalformedError(
            f'holds revision {record.revision} - at `$.revision`',
        )
    return record


def encode_snapshot(document: Configuration) -> bytes:
    """Encode a document as MessagePack for the store."""
    return msgspec.msgpack.encode(document)


def decode_snapshot(content: bytes) -> Configuration:
    """Decode a stored document; raise `MalformedError`."""
    return decode_msgpack(content, Configuration)
