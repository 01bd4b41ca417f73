"""Plays a case on a small deployment of real entry hosts.

The store, the balancer, the clients and the servers are those of the
project's soak; a case may put servers of its own in their place.
"""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from platform_soak.deployment import Deployment
from platform_soak.servers import Server

#: Zones of the small site, each with some of its six hosts.
ZONES = ('marmara-a', 'ege-a', 'ic-anadolu-a')
#: Seed of the balancer.
SEED = 50
#: Longest time for which a case runs, in seconds.
LONGEST_S = 110
#: Exit codes: the rule held, was broken, or the case could not run.
HELD = 0
BROKEN = 1
NOT_RUN = 2
RECORD_NAME = 'record.txt'


class CaseDeployment(Deployment):
    """A deployment with servers of a given type."""

    def __init__(self, server_type: type[Server]) -> None:
        """Create a deployment that does not run yet."""
        super().__init__(SEED)
        self._server_type = server_type

    def build_server(self, service: str, zone: str, slots: int = 4) -> Server:
        """Return a new server that does not run yet."""
        server = self._server_type(
            self.record, self.store, service, zone, f'{self._net}.2', slots
        )
        self.servers.append(server)
        return server

    def servers_of(self, service: str) -> list[Server]:
        """Return the servers of a service."""
        return [known for known in self.servers if known.service == service]


#: Starts a deployment and plays the case; returns how the rule was broken,
#: one text for each time, and prints what was seen.
Play = Callable[[CaseDeployment], Awaitable[list[str]]]


def with_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder: Path, server_type: type[Server], play: Play) -> int:
    """Play a case, write its record to a folder and return the exit code."""
    return asyncio.run(_run(folder, server_type, play))


def say(text: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{text}\n')


async def _run(folder: Path, server_type: type[Server], play: Play) -> int:
    loop = asyncio.get_running_loop()
    # The stand-ins' streams report that they were cancelled at the end.
    loop.set_exception_handler(lambda *_: None)
    main = asyncio.current_task()
    if main is not None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, main.cancel)
    deployment = CaseDeployment(server_type)
    problem = ''
    breaches: list[str] = []
    try:
        async with asyncio.timeout(LONGEST_S):
            breaches = await play(deployment)
    except asyncio.CancelledError:
        problem = 'ended by a signal'
    except Exception as error:
        # An error of the case is not a broken rule.
        problem = repr(error)
    finally:
        with contextlib.suppress(OSError):
            await deployment.close()
        deployment.record.write(folder / RECORD_NAME)
    return _report(problem, breaches)


def _report(problem: str, breaches: list[str]) -> int:
    if problem:
        say(f'could not run: {problem}')
        return NOT_RUN
    for breach in breaches:
        say(f'broken: {breach}')
    say('the rule was broken' if breaches else 'the rule held')
    return BROKEN if breaches else HELD
