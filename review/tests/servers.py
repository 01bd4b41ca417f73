"""The stand-in under the name that the cases import it by."""

from platform_soak.servers import (
    BEAT_S,
    Server,
)

__all__ = (
    'BEAT_S',
    'Server',
)
