"""Runs one scenario on the decision core or on real processes."""

import contextlib
import dataclasses
from pathlib import Path

import uvloop

from oriolestage._event_loop import disable_io_uring
from oriolestage.core import Parameters
from scenarios.checks import find_violations
from scenarios.core_engine import CoreEngine
from scenarios.language import load_scenario
from scenarios.observations import Answer, Observations
from scenarios.process_engine import ProcessEngine
from scenarios.steps import Freeze, Kill, Scenario
from scenarios.switches import switch_off

#: Folder of the scenario files.
SCENARIO_FOLDER = Path(__file__).parent / 'files'


def run_on_core(scenario: Scenario, seed: int) -> list[str]:
    """Run a scenario on the core and return the violations."""
    return find_violations(scenario, observe_on_core(scenario, seed))


def observe_on_core(scenario: Scenario, seed: int) -> Observations:
    """Run a scenario on the core and return the observations."""
    with contextlib.ExitStack() as patches:
        parameters = Parameters()
        for mechanism in scenario.switched_off:
            parameters = switch_off(mechanism, parameters, patches)
        return CoreEngine(scenario, parameters, seed).run()


def run_on_processes(
    scenario: Scenario,
    seed: int,
    freshness_limit: str = '3s',
) -> list[str]:
    """Run a scenario on real processes and return the violations."""
    disable_io_uring()
    engine = ProcessEngine(scenario, seed)
    observations = uvloop.run(engine.run(freshness_limit))
    return find_violations(
        scenario, _reclassify_lost_connections(scenario, observations)
    )


def _reclassify_lost_connections(
    scenario: Scenario,
    observations: Observations,
) -> Observations:
    """Change the outcome ``failed`` of answers to ``no_answer``.

    A killed or frozen process breaks connections, so a failed request is
    expected there. In a scenario without kills and freezes, each failed
    request also counts as cut off by a planned stop.
    """
    breaks_processes = any(
        isinstance(step.action, Kill | Freeze) for step in scenario.steps
    )
    answers: list[Answer] = []
    for answer in observations.answers:
        if answer.result.outcome != 'failed':
            answers.append(answer)
            continue
        if not breaks_processes:
            observations.cut_by_stop += 1
        result = dataclasses.replace(answer.result, outcome='no_answer')
        answers.append(dataclasses.replace(answer, result=result))
    observations.answers = answers
    return observations


def load_named(name: str, *, without: tuple[str, ...] = ()) -> Scenario:
    """Load a scenario by name, with the mechanisms ``without`` off."""
    scenario = load_scenario(SCENARIO_FOLDER / f'{name}.scenario')
    return dataclasses.replace(
        scenario,
        switched_off=(*scenario.switched_off, *without),
    )
