"""Runs scenario files on the decision core, with many seeds."""

import contextlib
import dataclasses
from pathlib import Path

from oriolestage.core import Parameters
from scenarios.checks import find_violations
from scenarios.core_engine import CoreEngine
from scenarios.language import load_scenario
from scenarios.observations import Observations
from scenarios.steps import Scenario
from scenarios.switches import switch_off

#: Folder with the scenario files.
FILES = Path(__file__).parent / 'files'


def run_on_core(scenario: Scenario, seed: int) -> list[str]:
    """Run a scenario with one seed; give the violations."""
    return find_violations(scenario, observe_on_core(scenario, seed))


def observe_on_core(scenario: Scenario, seed: int) -> Observations:
    """Run a scenario with one seed; give what was seen."""
    with contextlib.ExitStack() as patches:
        parameters = Parameters()
        for mechanism in scenario.switched_off:
            parameters = switch_off(mechanism, parameters, patches)
        return CoreEngine(scenario, parameters, seed).run()


def load_named(name: str, *, without: tuple[str, ...] = ()) -> Scenario:
    """Load a scenario file, perhaps with mechanisms switched off."""
    scenario = load_scenario(FILES / f'{name}.scenario')
    return dataclasses.replace(
        scenario,
        switched_off=(*scenario.switched_off, *without),
    )
