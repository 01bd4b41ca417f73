"""Text of HTTP headers whose bytes are no UTF-8, in messages between hosts.

The HTTP parser maps such bytes to surrogates, which MessagePack cannot encode.
"""

from collections.abc import Callable

#: Headers as pairs of a name and a text.
Headers = tuple[tuple[str, str], ...]


def text_to_latin1(text: str) -> str:
    """Return a text with one character for each byte of the header."""
    return text.encode('utf-8', 'surrogateescape').decode('latin-1')


def latin1_to_text(text: str) -> str:
    """Return the text as the HTTP parser has it, from :func:`text_to_latin1`.

    Raises ``ValueError`` if a character is no byte.
    """
    return text.encode('latin-1').decode('utf-8', 'surrogateescape')


def map_headers(convert: Callable[[str], str], headers: Headers) -> Headers:
    """Return headers with converted texts; names are ASCII."""
    return tuple((name, convert(text)) for name, text in headers)
