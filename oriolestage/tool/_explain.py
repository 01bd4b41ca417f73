"""Shows where an entry host would send a request now, without sending it."""

from http import HTTPStatus
from urllib.parse import urlsplit

import aiohttp
import msgspec

from oriolestage.routing._explanations import RequestView, TargetView
from oriolestage.tool._errors import DaemonUnreachableError
from oriolestage.tool._tables import Row, render_table

#: Timeout of the question, in seconds.
ANSWER_TIMEOUT_S = 10.0


async def fetch_explanation(entry: str, url: str, account: str) -> RequestView:
    """Ask an entry host where a request to ``url`` would go.

    ``entry`` is its metrics address as ``ip:port``, ``account`` the name of
    the caller's account. Raises :class:`DaemonUnreachableError` if there is
    no valid answer.
    """
    parts = urlsplit(url)
    path = parts.path or '/'
    if parts.query:
        path = f'{path}?{parts.query}'
    query = {'host': parts.hostname or '', 'path': path, 'account': account}
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f'http://{entry}/explain', params=query) as response,
        ):
            if response.status != HTTPStatus.OK:
                raise DaemonUnreachableError(
                    f'{entry}: status {response.status}'
                )
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise DaemonUnreachableError(f'{entry}: {error!r}') from error
    try:
        return msgspec.json.decode(body, type=RequestView)
    except msgspec.DecodeError as error:
        raise DaemonUnreachableError(f'{entry}: {error}') from error


def render_explanation(view: RequestView) -> str:
    """Return an explanation as text: the route, then a table for a service."""
    if view.refused:
        route = f' on route {view.route}' if view.route else ''
        return f'refused{route}: {view.refused} (version {view.version})'
    lines = [f'route {view.route} (version {view.version})']
    for service in view.services:
        chosen = service.chosen or 'nowhere'
        lines.append(f'{service.service} -> {chosen}: {service.reason}')
        rows: list[Row] = []
        for target in service.targets:
            rows.append(_target_row(target))
        lines.append(render_table(rows))
    return '\n'.join(lines)


def _target_row(target: TargetView) -> Row:
    return {
        'target': target.target,
        'data_centre': target.data_centre,
        'version': target.version,
        'obstacle': target.obstacle or '-',
        'wait_ms': f'{target.wait_ms:g}',
        'expected_ms': f'{target.expected_ms:g}',
        'outstanding': str(target.outstanding),
    }
