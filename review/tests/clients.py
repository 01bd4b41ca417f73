"""The stand-in under the name that the cases import it by."""

from platform_soak.clients import (
    Call,
    Shape,
)

__all__ = (
    'Call',
    'Shape',
)
