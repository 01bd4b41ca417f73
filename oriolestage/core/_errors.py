"""The errors that the decision core raises towards its embedder."""


class OriolestageError(Exception):
    """Base of all errors of this package."""


class ChangeRefusedError(OriolestageError):
    """A configuration change is invalid; nothing was changed."""
