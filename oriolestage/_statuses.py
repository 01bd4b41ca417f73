"""The statuses that a response may have (RFC 9110, section 15)."""

#: Statuses of interim responses, which precede a final one.
FIRST_INTERIM_STATUS = 100
FIRST_FINAL_STATUS = 200
#: Highest status of a valid response.
LAST_STATUS = 599


class InvalidStatusError(ValueError):
    """A response has a status outside of the range that HTTP defines."""


def check_status(status: int) -> None:
    """Raise :class:`InvalidStatusError` unless a response may have a status.

    Its sender counts as failing: nothing in the response is used.
    """
    if not FIRST_INTERIM_STATUS <= status <= LAST_STATUS:
        raise InvalidStatusError(f'status {status}')
