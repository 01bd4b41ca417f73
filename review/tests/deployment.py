"""The stand-in under the name that the cases import it by."""

from platform_soak.deployment import (
    Deployment,
    NotStartedError,
)

__all__ = (
    'Deployment',
    'NotStartedError',
)
