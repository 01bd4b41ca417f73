"""The stand-in under the name that the cases import it by."""

from platform_soak.configs import (
    build_config,
    build_route,
)

__all__ = (
    'build_config',
    'build_route',
)
