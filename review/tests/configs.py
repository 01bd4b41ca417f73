"""Builds configurations like those of the small sites."""

from collections.abc import Iterable


def build_route(
    name: str,
    service: str,
    *,
    idempotent: bool,
    timeout_ms: int = 3000,
    max_attempts: int = 2,
) -> dict:
    """Return a route to one service, with its name as path prefix."""
    return {
        'name': name,
        'host': 'bakici.example',
        'pathPrefix': f'/{name}/',
        'routeType': 'idempotent' if idempotent else 'non_idempotent',
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 396,
        'priority': 2,
        'service': service,
        'maxAttempts': max_attempts,
        'allowedRegions': [],
    }


def build_config(
    routes: Iterable[dict], services: Iterable[str], version: int = 7
) -> dict:
    """Return a configuration of routes and services."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {
                'name': service,
                'healthPath': '/healthz',
                'maxConnections': 96,
                'warmupS': 3,
                'warmupPerS': 0,
            }
            for service in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }
