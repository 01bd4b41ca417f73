"""Addresses that no process can have."""

#: Ports out of range, not of ASCII digits, or missing; names that would be
#: looked up; and texts that are no address.
ODD_ADDRESSES = (
    '',
    ':',
    ':80',
    'nohost',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:+80',
    '127.0.0.1: 80',
    '127.0.0.1:8_0',
    '127.0.0.1:80.0',
    '127.0.0.1:65536',
    '127.0.0.1:99999',
    '127.0.0.1:\u00b2',
    '127.0.0.1:\u0663',
    f'127.0.0.1:{"9" * 400}',
    f'127.0.0.1:{"9" * 5000}',
    '127.0.0.256:80',
    '127.0.0:80',
    '0127.0.0.1:80',
    '127.0.0.1:80:80',
    '[::1]:80',
    '::1:80',
    'name.example:80',
    'a b:80',
    '\x00:80',
    '127.0.0.1\x00:80',
    '127.0.0.1\r\n:80',
    f'{"a" * 300}:80',
    '\u00e9.example:80',
    '\udcff:80',
)
#: Well-formed addresses that are not those of one other process.
SHARED_ADDRESSES = ('0.0.0.0:80', '224.0.0.1:80', '255.255.255.255:80')
