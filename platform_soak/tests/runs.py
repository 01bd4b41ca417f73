"""Writes the files of a small run for the tests of its picture."""

from pathlib import Path

from platform_soak.plan import LeaveTarget, Plan, StopHost, write_plan
from platform_soak.record import RECORD_NAME, Record
from platform_soak.run_files import PLAN_NAME

HOSTS = ('edge-1', 'edge-2')
LENGTH_S = 20.0
#: Time of the start of traffic in the record, and since 1970, in seconds.
TRAFFIC_AT = 5.0
UNIX_S = 1000.0
#: Ends of requests: kind, status and problem.
ENDS = (
    ('answered', 200, ''),
    ('answered', 503, ''),
    ('answered', 404, ''),
    ('answered', 504, ''),
    ('unanswered', 0, 'left'),
    ('unanswered', 0, 'deadline'),
    ('unanswered', 0, 'IncompleteReadError'),
)
FAULTS = (
    StopHost(at_s=4, host=1, down_s=2),
    LeaveTarget(at_s=6, target=3, announced=True),
)


def write_run(folder: Path) -> None:
    """Write the plan, the record and the logs of a run."""
    write_plan(Plan(7, LENGTH_S, FAULTS), folder / PLAN_NAME)
    record = Record()
    _add(record, 'traffic', 0, unix_s=UNIX_S)
    for second in range(int(LENGTH_S)):
        for host in HOSTS:
            for kind, status, problem in ENDS:
                _add(
                    record,
                    kind,
                    second,
                    host=host,
                    status=status,
                    problem=problem,
                )
    _add(record, 'version', 8, number=2)
    _add(record, 'evacuated', 9, zone='ege-a', for_s=4)
    _add(
        record,
        'breach',
        LENGTH_S,
        rule='LOST',
        breached_at=TRAFFIC_AT + 4.5,
        text='a1 /book/1 at edge-2: cut',
    )
    record.write(folder / RECORD_NAME)
    lines = (
        f'time={UNIX_S - 1} event=started step=start host=edge-1',
        'a line of another program',
        f'time={UNIX_S + 8.1} event=configuration_in_force version=2',
    )
    (folder / 'edge-1.log').write_text('\n'.join(lines), 'utf-8')


def _add(record: Record, kind: str, at_s: float, **fields: object) -> None:
    record.add(kind, **fields)
    record.events[-1]['at'] = TRAFFIC_AT + at_s
