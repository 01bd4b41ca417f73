"""Answers whose status line has no valid status, or an unusual valid one."""

#: Texts in place of the status. No response may have any of them.
INVALID_STATUSES = (
    '000',
    '00',
    '0',
    '099',
    '20',
    '020',
    '1000',
    '200200',
    '-20',
    '+20',
    '2O0',
    '0x1',
    '',
    '600',
    '999',
)
#: Final statuses at the ends of the valid range.
VALID_STATUSES = (200, 418, 599)


def with_status(status: str, fields: str, body: str = 'body') -> bytes:
    """Return an answer with a text as its status and further head fields."""
    head = f'HTTP/1.1 {status} Text\r\n{fields}'
    return f'{head}Content-Length: {len(body)}\r\n\r\n{body}'.encode()
