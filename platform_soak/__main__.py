"""Command line of the soak: ``python -m platform_soak --help``."""

import asyncio
import sys
from pathlib import Path

import msgspec
from cyclopts import App

from platform_soak.drawing import make_plan
from platform_soak.plan import Plan, PlanError, read_plan, write_plan
from platform_soak.runner import Outcome, check_targets, play, target_count
from platform_soak.shrinking import shrink

#: Length of a run, in seconds.
LENGTH_S = 60.0
FOLDER = Path('build/soak')
REPLAY_FOLDER = FOLDER / 'replay'
REDUCED_FOLDER = FOLDER / 'reduced'
#: Breaches of one rule that are printed.
MAX_SHOWN = 10

app = App(help='Plays seeded faults on real entry hosts and checks the rules.')


@app.default
def run_seeds(
    first: int = 1,
    count: int = 1,
    length_s: float = LENGTH_S,
    folder: Path = FOLDER,
    production: str = '',
) -> int:
    """Play the plans of ``count`` seeds; return 1 if a rule was broken.

    ``production`` is the commit of the build that hosts run until they are
    started again.
    """
    failed = 0
    for seed in range(first, first + count):
        drawn = make_plan(seed, length_s, target_count())
        plan = msgspec.structs.replace(drawn, production=production)
        failed += not _play(plan, folder / str(seed))
    sys.stdout.write(f'{count - failed} seeds held, {failed} broke a rule\n')
    return 1 if failed else 0


@app.command
def replay(path: Path, folder: Path = REPLAY_FOLDER) -> int:
    """Play the plan in a file, which may have been edited."""
    plan = _read(path)
    return 0 if _play(plan, folder) else 1


@app.command
def reduce(path: Path, folder: Path = REDUCED_FOLDER, runs: int = 20) -> int:
    """Leave out faults of a plan while it still breaks the same rule."""
    folder.mkdir(parents=True, exist_ok=True)

    def breaks(candidate: Plan) -> set[str]:
        outcome = asyncio.run(play(candidate, folder / 'candidate'))
        return {breach.rule for breach in outcome.breaches}

    reduced = shrink(_read(path), breaks, runs)
    write_plan(reduced, folder / 'plan.json')
    sys.stdout.write(
        f'{len(reduced.faults)} faults left in {folder}/plan.json\n'
    )
    return 0


@app.command
def report(folder: Path) -> int:
    """Draw the run in a folder; write report.png there."""
    # Drawing takes longer to import than all else.
    from platform_soak.report import write_report  # noqa: PLC0415

    sys.stdout.write(f'{write_report(folder)}\n')
    return 0


def _read(path: Path) -> Plan:
    """Return the plan in a file; leave the program if there is none."""
    try:
        plan = read_plan(path)
        check_targets(plan)
    except (PlanError, OSError) as error:
        sys.exit(f'no plan: {error}')
    return plan


def _play(plan: Plan, folder: Path) -> bool:
    """Play a plan, print its outcome and return whether the rules held."""
    folder.mkdir(parents=True, exist_ok=True)
    write_plan(plan, folder / 'plan.json')
    outcome = asyncio.run(play(plan, folder))
    sys.stdout.write(describe(outcome))
    sys.stdout.flush()
    return not outcome.breaches


def describe(outcome: Outcome) -> str:
    """Return the lines about an outcome, with at most ten breaches a rule."""
    lines = [
        f'seed {outcome.plan.seed}: {len(outcome.plan.faults)} faults, '
        f'{outcome.calls} requests, {outcome.answered} answered, '
        f'{outcome.refused} refused, {len(outcome.breaches)} breaches',
    ]
    shown: dict[str, int] = {}
    for breach in outcome.breaches:
        shown[breach.rule] = shown.get(breach.rule, 0) + 1
        if shown[breach.rule] <= MAX_SHOWN:
            lines.append(f'  {breach.rule} at {breach.at:.2f} s: {breach.text}')
    return ''.join(f'{line}\n' for line in lines)


if __name__ == '__main__':
    sys.exit(app())
