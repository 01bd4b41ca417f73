"""Checks and parses the values of headers that others state."""

#: Most digits of a whole number, and characters of a decimal one.
MAX_WHOLE_DIGITS = 15
MAX_DECIMAL_CHARACTERS = 32
#: Control characters of ASCII; a header may contain the tab only.
CONTROL_CHARACTERS = frozenset((*map(chr, range(ord(' '))), '\x7f'))
TAB = '\t'
#: Separates the values of one header.
SEPARATOR = ','


def parse_whole(name: str, text: str) -> int:
    """Return the whole number of at least 0 that a header states.

    Raises ``ValueError`` unless it consists of few enough ASCII digits.
    """
    digits = text.isascii() and text.isdigit()
    if not digits or len(text) > MAX_WHOLE_DIGITS:
        raise malformed(name, text)
    return int(text)


def parse_decimal(name: str, text: str, maximum: float) -> float:
    """Return the decimal number from 0 to ``maximum`` that a header states.

    Raises ``ValueError`` unless it consists of few enough ASCII digits with
    at most one decimal point.
    """
    digits = text.replace('.', '', 1)
    if not (digits.isascii() and digits.isdigit()):
        raise malformed(name, text)
    if len(text) > MAX_DECIMAL_CHARACTERS:
        raise malformed(name, text)
    number = float(text)
    if number > maximum:
        raise malformed(name, text)
    return number


def is_visible(text: str) -> bool:
    """Return whether a text consists of visible characters of ASCII."""
    return text.isascii() and text.isprintable() and ' ' not in text


def is_list_element(text: str) -> bool:
    """Return whether a value may stand in a list within one header."""
    return is_visible(text) and SEPARATOR not in text


def can_be_sent(text: str) -> bool:
    """Return whether a header may have this value, by its characters.

    Bytes that are no UTF-8 are surrogates here, which would be left out.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return CONTROL_CHARACTERS.isdisjoint(text.replace(TAB, ''))


def malformed(name: str, text: str) -> ValueError:
    """Return the error of a header whose value cannot be used."""
    return ValueError(f'{name} is {text[:MAX_DECIMAL_CHARACTERS]!r}')
