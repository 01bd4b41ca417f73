"""The stand-in under the name that the cases import it by."""

from platform_soak.store import (
    Store,
)

__all__ = ('Store',)
