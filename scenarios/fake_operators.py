"""Simulated operators who change the configuration."""

from oriolestage.core import (
    ChangeAccepted,
    ChangeOutcome,
    Configuration,
    OperatorCommand,
    ReplaceDocument,
)
from oriolestage.tool import parse_command
from scenarios.observations import OperatorAnswer
from scenarios.simulation import CoreHost, Simulation
from scenarios.steps import Operate

#: Names of outcomes in scenario files, by class of outcome.
OUTCOME_NAMES = (
    ('ChangeAccepted', 'accepted'),
    ('ChangeRefused', 'refused'),
    ('ChangeConflict', 'conflict'),
    ('ChangeUnknown', 'unknown'),
)


class FakeOperators:
    """Sends changes to hosts and records the outcomes."""

    def __init__(self, simulation: Simulation) -> None:
        """Send to the hosts of ``simulation``."""
        self._simulation = simulation
        self._command_count = 0

    def apply_document(self, document: Configuration) -> None:
        """Submit the first configuration document."""
        self._submit(ReplaceDocument(document), '', 'set-up')

    def execute(self, step: Operate) -> None:
        """Parse a command of the operator language and submit its change."""
        command = parse_command(step.command)
        change = getattr(command, 'change')
        self._submit(change, step.through, step.operator)

    def _submit(self, change, through: str, operator: str) -> None:
        host = self._choose_host(through)
        core = host.core
        if core is None:
            return
        self._command_count += 1
        command = OperatorCommand(
            change,
            operator,
            f'command-{self._command_count}',
            0,
        )
        core.on_operator_command(
            self._simulation.now,
            command,
            lambda outcome: self._record_outcome(operator, outcome),
        )
        self._simulation.process_effects(host)

    def _choose_host(self, through: str) -> CoreHost:
        if through:
            return self._simulation.hosts[through]
        running = [
            host
            for host in self._simulation.hosts.values()
            if host.core is not None and not host.frozen
        ]
        return running[0]

    def _record_outcome(self, operator: str, outcome: ChangeOutcome) -> None:
        revision = 0
        if isinstance(outcome, ChangeAccepted):
            revision = outcome.revision
        name = dict(OUTCOME_NAMES)[type(outcome).__name__]
        self._simulation.observations.operator_answers.append(
            OperatorAnswer(
                operator,
                self._simulation.scenario_time(),
                name,
                revision,
            ),
        )
