"""Errors that the decision core raises to its embedder."""


class OriolestageError(Exception):
    """Base class of the errors of this package."""


class ChangeRefusedError(OriolestageError):
    """A configuration change was refused; nothing was changed."""
