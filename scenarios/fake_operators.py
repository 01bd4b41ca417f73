"""Operators who type commands, on injected time."""

from oriolestage.core import (
    ChangeAccepted,
    ChangeOutcome,
    Configuration,
    OperatorCommand,
    ReplaceDocument,
)
from oriolestage.tool import parse_command
from scenarios.core_world import CoreHost, CoreWorld
from scenarios.observations import OperatorAnswer
from scenarios.steps import Operate

#: Names of outcomes as scenario files write them.
OUTCOME_NAMES = (
    ('ChangeAccepted', 'accepted'),
    ('ChangeRefused', 'refused'),
    ('ChangeConflict', 'conflict'),
    ('ChangeUnknown', 'unknown'),
)


class FakeOperators:
    """Sends changes to hosts and notes what came of them."""

    def __init__(self, world: CoreWorld) -> None:
        """Act within ``world``."""
        self._world = world
        self._commands = 0

    def apply_document(self, document: Configuration) -> None:
        """Put the first document in force."""
        self._submit(ReplaceDocument(document), '', 'set-up')

    def operate(self, step: Operate) -> None:
        """Type one command."""
        command = parse_command(step.command)
        change = getattr(command, 'change')
        self._submit(change, step.through, step.operator)

    def _submit(self, change, through: str, operator: str) -> None:
        host = self._host(through)
        core = host.core
        if core is None:
            return
        self._commands += 1
        command = OperatorCommand(
            change,
            operator,
            f'command-{self._commands}',
            0,
        )
        core.on_operator_command(
            self._world.now,
            command,
            lambda outcome: self._note(operator, outcome),
        )
        self._world.settle(host)

    def _host(self, through: str) -> CoreHost:
        if through:
            return self._world.hosts[through]
        running = [
            host
            for host in self._world.hosts.values()
            if host.core is not None and not host.frozen
        ]
        return running[0]

    def _note(self, operator: str, outcome: ChangeOutcome) -> None:
        revision = 0
        if isinstance(outcome, ChangeAccepted):
            revision = outcome.revision
        name = dict(OUTCOME_NAMES)[type(outcome).__name__]
        self._world.seen.operators.append(
            OperatorAnswer(
                operator,
                self._world.since_origin(),
                name,
                revision,
            ),
        )
