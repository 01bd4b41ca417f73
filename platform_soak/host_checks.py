"""Checks of the processes of the hosts, and of what they serve in the end."""

from collections.abc import Iterator
from http import HTTPStatus

from platform_soak.accounts import STEADY_KEY
from platform_soak.answers import LONG_SUFFIX
from platform_soak.breaches import Breach
from platform_soak.clients import LEFT, Call
from platform_soak.history import History

#: Share of the requests in the calm at the end that have to be answered.
SERVED_SHARE = 0.98
#: Keys whose requests are to be served: that of each version, or none if the
#: run has no accounts.
SERVED_KEYS = frozenset(('', STEADY_KEY))
#: Memory of a host, in MB, and the most that it may log, in bytes a second.
MEMORY_MB = 300
LOG_BYTES_PER_S = 200_000


def check_processes(history: History) -> Iterator[Breach]:
    """Hosts that end by themselves, take too much memory or log too much."""
    for name, host in history.hosts.items():
        for ended_at in host.ended_at:
            yield Breach('ENDED', ended_at, f'{name} ended by itself')
        if host.memory_mb > MEMORY_MB:
            text = f'{name} took {host.memory_mb:.0f} MB'
            yield Breach('MEMORY', history.length_s, text)
        if host.log_bytes > LOG_BYTES_PER_S * history.length_s:
            text = f'{name} logged {host.log_bytes} bytes'
            yield Breach('LOG', history.length_s, text)


def check_recovery(history: History) -> Iterator[Breach]:
    """SERVED: once nothing is disturbed, callers are served.

    A refusal of a request that takes longer than its callers wait does not
    count: it is never answered, so that it is quarantined once two targets
    have crashed while they ran it.
    """
    calls = [
        call
        for call in history.calls
        if call.started_at >= history.calm_from
        and not call.path.startswith('/added-')
        and not _is_refused_long(call)
        and call.problem != LEFT
        and call.key in SERVED_KEYS
    ]
    served = sum(
        1
        for call in calls
        if call.answer is not None and call.answer.status == HTTPStatus.OK
    )
    if not calls:
        yield Breach('SERVED', history.calm_from, 'no requests at the end')
    elif served < SERVED_SHARE * len(calls):
        text = f'{served} of {len(calls)} requests at the end'
        yield Breach('SERVED', history.calm_from, text)


def _is_refused_long(call: Call) -> bool:
    return (
        call.path.endswith(LONG_SUFFIX)
        and call.answer is not None
        and call.answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    )
