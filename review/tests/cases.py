"""Runs a case: starts its deployment, plays it and judges the record."""

import argparse
import asyncio
import signal
import sys
import traceback
from pathlib import Path
from typing import Protocol

from deployment import Deployment, NotStartedError

#: Exit codes of a case.
HELD = 0
BROKEN = 1
NOT_RUN = 2


class Case(Protocol):
    """What a case consists of."""

    def config(self) -> dict:
        """Return the operator's first configuration."""

    def servers(self) -> dict[str, list[str]]:
        """Return the zones of the servers of each service."""

    async def play(self, deployment: Deployment, *, trouble: bool) -> None:
        """Send the traffic, with the disruption or without it."""

    def judge(self, deployment: Deployment) -> list[str]:
        """Return a line for each breach of the rule."""

    def summary(self, deployment: Deployment) -> str:
        """Return a line about what was sent and answered."""


async def run_case(case: Case, record_path: Path, *, trouble: bool) -> int:
    """Play a case and return its exit code.

    SIGTERM cancels it, so that its processes are ended.
    """
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
    deployment = Deployment(seed=1)
    try:
        await deployment.start(
            case.config(),
            case.servers(),
            getattr(case, 'late_registrations', {}) if trouble else {},
        )
        await case.play(deployment, trouble=trouble)
    except NotStartedError as error:
        sys.stdout.write(f'not run: {error}\n')
        return NOT_RUN
    finally:
        await deployment.close()
        deployment.record.write(record_path)
    breaches = case.judge(deployment)
    sys.stdout.write(f'{case.summary(deployment)}\n')
    for line in breaches:
        sys.stdout.write(f'breach: {line}\n')
    return BROKEN if breaches else HELD


def main(case: Case) -> int:
    """Run a case from the command line; return its exit code.

    An error of the case itself means that it could not run.
    """
    parser = argparse.ArgumentParser(description=type(case).__doc__)
    parser.add_argument('--trouble', type=int, default=1)
    parser.add_argument('--record', type=Path, required=True)
    arguments = parser.parse_args()
    try:
        return asyncio.run(
            run_case(case, arguments.record, trouble=bool(arguments.trouble))
        )
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return NOT_RUN
