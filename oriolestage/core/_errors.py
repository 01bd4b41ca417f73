"""Errors that the decision core raises to its embedder."""


class OriolestageError(Exception):
    """Base class of the errors of this package."""


class ChangeRefusedError(OriolestageError):
    """A configuration change was refused; nothing was changed."""


class MalformedError(OriolestageError, ValueError):
    """Bytes from outside cannot be decoded; the message names the position."""
