"""Strategies that mutate good messages of operators, targets and hosts."""

import base64
import copy
import json
from collections.abc import Mapping

from hypothesis import strategies as st

from oriolestage.entry.tests.odd_addresses import ODD_ADDRESSES
from oriolestage.platform.tests.stored_items import (
    HOST,
    HUGE,
    REGISTRATION,
    make_configuration,
)

#: Lists within lists; hypothesis raises the limit of the recursion.
NESTING = 10_000
BACKSLASH = b'\x5c'
#: JSON that the encoder does not write: deep nesting, numbers with too many
#: digits or in odd forms, lone surrogates, and what is not JSON.
RAW_TOKENS: tuple[bytes, ...] = (
    b'[' * NESTING + b']' * NESTING,
    b'{"a":' * NESTING + b'1' + b'}' * NESTING,
    b'[' * NESTING,
    b'9' * 5000,
    b'-' + b'9' * 5000,
    b'0.' + b'9' * 5000,
    b'1e400',
    b'-1e400',
    b'1e-400',
    b'-0',
    b'-0.0',
    b'01',
    b'1.0',
    b'NaN',
    b'tru',
    BACKSLASH.join((b'"', b'ud800"')),
    BACKSLASH.join((b'"', b'u0000"')),
    b'"\xff"',
    b'',
)
EXTREMES: tuple[object, ...] = (
    None,
    True,
    False,
    0,
    1,
    -1,
    0.5,
    2**31,
    2**53 + 1,
    2**63 - 1,
    2**63,
    2**64,
    -(2**63),
    HUGE,
    -HUGE,
    1e-300,
    5e-324,
    1e15,
    1e300,
    float('inf'),
    float('nan'),
    '',
    ' ',
    '\x00',
    'x' * 5000,
    [],
    {},
    [[]],
    ['s-1', 's-1'],
    [{}],
)
GOOD_DOCUMENTS: tuple[tuple[str, Mapping[str, object]], ...] = (
    ('servers/i-1', REGISTRATION),
    ('hosts/h-1', HOST),
    ('op/config', json.loads(make_configuration())),
    (
        'op/config',
        json.loads(
            make_configuration(
                {'gather': ['s-1', 's-2'], 'topK': 5, 'minCoverage': 0.5}
            ),
        ),
    ),
    (
        'op/config',
        json.loads(
            make_configuration({'backends': [{'service': 's-1', 'weight': 1}]})
        ),
    ),
    ('crashes/00000000000000ff/i-1', {}),
    ('op/evacuate/dc-a', {}),
)
SETTINGS_TEXT = """
nodeName: host-1
ip: 10.0.0.1
zone: dc-a
zones: {dc-a: north, dc-b: south}
endpoints: {front: "10.0.0.1:80", ready: "10.0.0.1:81"}
portRange: [7380, 7395]
bounds: {graceS: 6, contactMs: 5000, retryBudget: 0.3, retrySlack: 40}
platform: {address: "10.0.9.9:82"}
newField: 1
"""
#: Parts of it that are replaced.
SETTINGS_FIELDS = (
    'host-1',
    'dc-a',
    'north',
    '10.0.0.1',
    '10.0.0.1:80',
    '10.0.9.9:82',
    '7380',
    '7395',
    '[7380, 7395]',
    '6',
    '5000',
    '0.3',
    '40',
    'newField',
    '1\n',
    '{',
)
ODD_SCALARS = (
    '.nan',
    '.inf',
    '-1',
    '0',
    '1e400',
    '9' * 400,
    '9' * 5000,
    '2020-99-99',
    '0o9',
    '1:99:99',
    '!!binary x',
    '!!python/object:os.system x',
    '*a',
    '&a [*a]',
    '{? [a] : b}',
    r'"\ud800"',
)
PREFIXES = ('servers/', 'hosts/', 'crashes/', 'op/evacuate/', 'op/config', '')
KEY_PARTS = (
    '',
    '/',
    '//',
    'i-1',
    'ff/i-1',
    '-1/i-1',
    '0x1/i-1',
    f'{"f" * 17}/i-1',
    f'{"9" * 4000}/i-1',
    '\u0663/i-1',
    'i 1',
    'i\r\n1',
    '\x00',
    '\udcff',
)

_RAW = st.integers(0, len(RAW_TOKENS) - 1).map(lambda number: f'@raw{number}@')
# Copied, since a value that was drawn may be changed in its document.
_FIELDS = st.one_of(
    st.sampled_from(EXTREMES).map(copy.deepcopy),
    _RAW,
    st.sampled_from(ODD_ADDRESSES),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
)


@st.composite
def documents(draw: st.DrawFn) -> tuple[str, bytes]:
    """Return a key and a JSON document with some fields changed."""
    key, good = draw(st.sampled_from(GOOD_DOCUMENTS))
    changed = copy.deepcopy(dict(good))
    for _ in range(draw(st.integers(0, 3))):
        _change_field(draw, changed)
    return key, _encode(changed)


@st.composite
def damaged(draw: st.DrawFn) -> tuple[str, bytes]:
    """Return a key and a document with some bytes changed or cut out."""
    key, encoded = draw(documents())
    content = encoded
    for _ in range(draw(st.integers(0, 4))):
        if not content:
            break
        position = draw(st.integers(0, len(content) - 1))
        inserted = draw(st.binary(max_size=2))
        rest = content[position + draw(st.integers(0, 9)) :]
        content = b''.join((content[:position], inserted, rest))
    return key, content


@st.composite
def stored_items(draw: st.DrawFn) -> tuple[str, bytes]:
    """Return an item with an odd key, odd fields or damaged bytes."""
    key, content = draw(
        st.one_of(documents(), damaged(), st.tuples(keys(), st.binary()))
    )
    if draw(st.integers(0, 4)) == 0:
        key = draw(keys())
    return key, content


@st.composite
def keys(draw: st.DrawFn) -> str:
    """Return a key of any kind."""
    part = draw(st.one_of(st.sampled_from(KEY_PARTS), st.text(max_size=12)))
    return draw(st.sampled_from(PREFIXES)) + part


def header_values() -> st.SearchStrategy[str]:
    """Return header values: numbers in good and odd forms, and texts."""
    characters = st.characters(max_codepoint=255)
    numbers = st.text(alphabet='0123456789.-+_ eE\u00b2\u0663', max_size=40)
    return st.one_of(
        numbers,
        st.text(characters, max_size=12),
        st.integers().map(str),
        st.floats().map(str),
        st.sampled_from(
            ('9' * 400, '9' * 5000, '0' * 5000, '\udcff', '', '1', '14.2')
        ),
    )


def stored_values() -> st.SearchStrategy[object]:
    """Return values of any type, as a JSON decoder returns them."""
    return st.one_of(
        st.sampled_from(EXTREMES), st.text(), st.binary().map(_base64_text)
    )


@st.composite
def setting_texts(draw: st.DrawFn) -> str:
    """Return a settings file with some values changed."""
    text = SETTINGS_TEXT
    for _ in range(draw(st.integers(0, 3))):
        old = draw(st.sampled_from(SETTINGS_FIELDS))
        new = draw(
            st.one_of(
                st.sampled_from(ODD_SCALARS),
                st.sampled_from(ODD_ADDRESSES),
                st.text(max_size=10),
                st.integers().map(str),
            ),
        )
        text = text.replace(old, new, 1)
    return text


def _base64_text(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _change_field(draw: st.DrawFn, document: dict[str, object]) -> None:
    """Replace, remove or add one field at any depth."""
    places = _places(document)
    if not places:
        document['extra'] = draw(_RAW)
        return
    container, field = draw(st.sampled_from(places))
    match draw(st.integers(0, 3)):
        case 0:
            container.pop(field)
        case 1 if isinstance(container, dict):
            container[draw(st.text(max_size=4))] = draw(_RAW)
        case _:
            container[field] = draw(_FIELDS)


def _places(node: object) -> list[tuple[dict | list, str | int]]:
    """Return each container in a document with each of its fields."""
    places: list[tuple[dict | list, str | int]] = []
    match node:
        case dict():
            children = list(node.items())
        case list():
            children = list(enumerate(node))
        case _:
            return []
    for field, child in children:
        places.append((node, field))
        places.extend(_places(child))
    return places


def _encode(document: dict[str, object]) -> bytes:
    encoded = json.dumps(document).encode()
    for number, token in enumerate(RAW_TOKENS):
        encoded = encoded.replace(f'"@raw{number}@"'.encode(), token)
    return encoded
