"""The stand-in under the name that the cases import it by."""

from platform_soak.hosts import (
    EntryHost,
)

__all__ = ('EntryHost',)
