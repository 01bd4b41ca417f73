"""Decodes the items of the store, and encodes those that hosts write.

Operators write the configuration, targets their registrations, and hosts
their own registrations and crash reports. Unknown fields are ignored.
"""

import base64
import string
from typing import Annotated

import msgspec

from oriolestage._addresses import parse_remote_address
from oriolestage.platform import _names
from oriolestage.platform._configuration import decode_configuration
from oriolestage.platform._rollout_documents import (
    ROLLOUT_PREFIXES,
    decode_rollout_item,
    decode_rollout_removal,
)
from oriolestage.routing._crash_detector import (
    ANSWERED,
    CrashReport,
    QuarantineReport,
)
from oriolestage.routing._facts import (
    ConfigurationStored,
    CrashStored,
    DataCentreClosed,
    DataCentreOpened,
    HostRecord,
    HostRemoved,
    HostStored,
    StoredFact,
    TargetRemoved,
    TargetStored,
    UnreadableItem,
)
from oriolestage.routing._targets import TargetRecord
from oriolestage.routing._trials import TrialReport

MS_PER_S = 1000
#: Values of ``state`` in the registration of a target.
STATE_READY = 'ready'
STATE_DRAINING = 'draining'
#: Most requests that a target processes concurrently.
MAX_CONCURRENCY = 1_000_000
#: Longest time for which a target stays cold, in milliseconds: a day.
MAX_WARM_UP_MS = 86_400_000
#: Latest start of a process, Unix time in milliseconds: the year 9999.
MAX_STARTED_MS = 253_402_300_799_999
#: Part of the key of a report that a request was answered. Builds that know no
#: such reports do not take it for a fingerprint.
ANSWERED_KEY = 'answered'
#: The same of a claim of a trial, and the most digits of a trial's number.
TRIAL_KEY = 'trial'
TRIAL_DIGITS = 4
#: Base of the fingerprints in the keys of crash reports, and the most digits
#: of one: a fingerprint is a 64-bit number.
FINGERPRINT_BASE = 16
FINGERPRINT_DIGITS = 16
HEXADECIMAL_DIGITS = frozenset(string.hexdigits)
#: Longest text that says why an item cannot be read, in characters.
MAX_PROBLEM_CHARACTERS = 300


class _Registration(msgspec.Struct, frozen=True, rename='camel'):
    service: str
    address: str
    # Zone is the platform's word for a data centre.
    zone: str
    concurrency_limit: Annotated[int, msgspec.Meta(ge=1, le=MAX_CONCURRENCY)]
    state: str
    warmup_left_ms: Annotated[float, msgspec.Meta(le=MAX_WARM_UP_MS)]
    # Of the target's software, not of the entry.
    version: str
    # Not used; an entry without it is of another writer.
    sequence: int
    # Start of the process, Unix time in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_MS)] = 0


class _Host(msgspec.Struct, frozen=True):
    data_centre: str
    peer_address: str


def decode_item(
    key: str, content: bytes, revision: int = 0
) -> StoredFact | None:
    """Decode one item, which the store holds at a revision.

    Return :class:`UnreadableItem` if it is invalid, and None if its key does
    not concern an entry host. Whatever the bytes are, no error is raised:
    the items before and after this one are still to be read.
    """
    try:
        if key.startswith(ROLLOUT_PREFIXES):
            return decode_rollout_item(key, content, revision)
        return _decode_by_key(key, content)
    except (msgspec.DecodeError, ValueError) as error:
        return _unreadable(key, str(error))
    except Exception as error:  # noqa: BLE001 - such as a nesting too deep
        return _unreadable(key, f'{type(error).__name__}: {error}')


def decode_value(
    key: str, value: object, revision: int = 0
) -> StoredFact | None:
    """Decode one item from its value as the store returns it: base64 text.

    The result is that of :func:`decode_item`; a value that is no such text
    makes the item unreadable.
    """
    if not isinstance(value, str):
        return _unreadable(key, f'value of type {type(value).__name__}')
    try:
        content = base64.b64decode(value, validate=True)
    except ValueError as error:
        return _unreadable(key, str(error))
    return decode_item(key, content, revision)


def _unreadable(key: str, problem: str) -> UnreadableItem:
    target = ''
    if key.startswith(_names.TARGET_PREFIX):
        target = key.removeprefix(_names.TARGET_PREFIX)
    return UnreadableItem(key, problem[:MAX_PROBLEM_CHARACTERS], target)


def decode_removal(key: str) -> StoredFact | None:
    """Decode the removal of an item.

    Return None if an entry host need not act on it.
    """
    if key.startswith(_names.TARGET_PREFIX):
        return TargetRemoved(key.removeprefix(_names.TARGET_PREFIX))
    if key.startswith(_names.CLOSED_DATA_CENTRE_PREFIX):
        name = key.removeprefix(_names.CLOSED_DATA_CENTRE_PREFIX)
        return DataCentreOpened(name)
    if key.startswith(_names.HOST_PREFIX):
        return HostRemoved(key.removeprefix(_names.HOST_PREFIX))
    return decode_rollout_removal(key)


def encode_host(record: HostRecord) -> bytes:
    """Encode the registration of a host."""
    return msgspec.json.encode(
        _Host(
            data_centre=record.data_centre,
            peer_address=record.peer_address,
        ),
    )


def crash_key(report: QuarantineReport) -> str:
    """Return the key under which a report on a quarantine is stored."""
    fingerprint = f'{report.fingerprint:016x}'
    match report:
        case TrialReport(number=number):
            key = f'{TRIAL_KEY}/{fingerprint}/{number}'
        case CrashReport(target=target) if target == ANSWERED:
            key = f'{ANSWERED_KEY}/{fingerprint}'
        case CrashReport(target=target):
            key = f'{fingerprint}/{target}'
    return f'{_names.CRASH_PREFIX}{key}'


def _decode_by_key(key: str, content: bytes) -> StoredFact | None:
    if key == _names.CONFIGURATION_KEY:
        return ConfigurationStored(decode_configuration(content))
    if key.startswith(_names.CLOSED_DATA_CENTRE_PREFIX):
        name = key.removeprefix(_names.CLOSED_DATA_CENTRE_PREFIX)
        return DataCentreClosed(name)
    if key.startswith(_names.TARGET_PREFIX):
        identity = _read_identity(key.removeprefix(_names.TARGET_PREFIX))
        return TargetStored(_decode_target(identity, content))
    if key.startswith(_names.HOST_PREFIX):
        name = _read_identity(key.removeprefix(_names.HOST_PREFIX))
        return HostStored(_decode_host(name, content))
    if key.startswith(_names.CRASH_PREFIX):
        return CrashStored(
            _read_crash_report(key.removeprefix(_names.CRASH_PREFIX))
        )
    return None


def _decode_host(name: str, content: bytes) -> HostRecord:
    host = msgspec.json.decode(content, type=_Host)
    address = _read_address('peer_address', host.peer_address)
    return HostRecord(name, host.data_centre, address)


def _decode_target(identity: str, content: bytes) -> TargetRecord:
    entry = msgspec.json.decode(content, type=_Registration)
    if entry.state not in {STATE_READY, STATE_DRAINING}:
        raise ValueError(f'unknown state {entry.state!r}')
    return TargetRecord(
        identity=identity,
        service=entry.service,
        address=_read_address('address', entry.address),
        data_centre=entry.zone,
        slots=entry.concurrency_limit,
        draining=entry.state == STATE_DRAINING,
        warm_up_left_s=max(0, entry.warmup_left_ms) / MS_PER_S,
        started_ms=entry.born,
        version=entry.version,
    )


def _read_identity(text: str) -> str:
    """Return the identity of a target or host, which may stand in a header.

    Raises ``ValueError`` if it is empty or has other characters than visible
    ones of ASCII.
    """
    visible = text.isascii() and text.isprintable() and ' ' not in text
    if not text or not visible:
        raise ValueError(f'identity {text!r} in the key')
    return text


def _read_crash_report(key: str) -> QuarantineReport:
    """Return the report that a key holds, without its prefix."""
    first, _, second = key.partition('/')
    if first == ANSWERED_KEY:
        return CrashReport(_read_fingerprint(second), ANSWERED)
    if first == TRIAL_KEY:
        digits, _, number = second.partition('/')
        return TrialReport(
            _read_fingerprint(digits), _read_trial_number(number)
        )
    return CrashReport(_read_fingerprint(first), _read_identity(second))


def _read_fingerprint(digits: str) -> int:
    """Return the fingerprint of a request.

    Raises ``ValueError`` if it is no 64-bit number in hexadecimal digits.
    """
    if not 0 < len(digits) <= FINGERPRINT_DIGITS or not (
        HEXADECIMAL_DIGITS.issuperset(digits)
    ):
        raise ValueError(f'fingerprint {digits!r} in the key')
    return int(digits, FINGERPRINT_BASE)


def _read_trial_number(digits: str) -> int:
    """Return the number of a trial, which is positive.

    Raises ``ValueError`` if it is none.
    """
    decimal = digits.isascii() and digits.isdigit()
    if not decimal or len(digits) > TRIAL_DIGITS or not int(digits):
        raise ValueError(f'trial {digits!r} in the key')
    return int(digits)


def _read_address(field: str, text: str) -> str:
    """Return the one form of an address to connect to.

    Raises ``ValueError`` with the name of the field if it is none.
    """
    try:
        return str(parse_remote_address(text))
    except ValueError as error:
        raise ValueError(f'{error} - at `$.{field}`') from error
