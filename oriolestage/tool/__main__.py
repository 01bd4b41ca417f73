"""Command line of the operator tool, ``oriolestage``."""

import getpass
import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import cyclopts

from oriolestage._event_loop import disable_io_uring
from oriolestage.tool import (
    DaemonClient,
    DaemonUnreachableError,
    ExitCode,
    Session,
    fetch_explanation,
    render_explanation,
)

#: Environment variable with addresses of daemons, separated by commas.
HOSTS_VARIABLE = 'ORIOLESTAGE_HOSTS'
#: Operator address used if none is given.
DEFAULT_HOST = '127.0.0.1:7002'
#: Prompt, printed if the standard input is a terminal.
PROMPT = 'oriolestage> '

app = cyclopts.App(
    name='oriolestage',
    help='Show the state of the query tier and change its configuration.',
)


@app.default
def run(
    *words: Annotated[
        str,
        cyclopts.Parameter(help='A command; without one, a prompt starts.'),
    ],
    host: Annotated[
        str,
        cyclopts.Parameter(help='Operator addresses, separated by commas.'),
    ] = '',
    operator: Annotated[
        str,
        cyclopts.Parameter(help='Name for the audit trail.'),
    ] = '',
    file: Annotated[
        Path | None,
        cyclopts.Parameter(help='File with commands.'),
    ] = None,
    command_id: Annotated[
        str,
        cyclopts.Parameter(help='Identifier of a change that is sent again.'),
    ] = '',
    json: Annotated[
        bool,
        cyclopts.Parameter(help='Print JSON.', negative=''),
    ] = False,
) -> int:
    """Run a command; 'help' lists them."""
    disable_io_uring()
    import uvloop  # noqa: PLC0415 - reads its variable when a loop is made

    hosts = host or os.environ.get(HOSTS_VARIABLE, '') or DEFAULT_HOST
    session = Session(
        DaemonClient([part for part in hosts.split(',') if part]),
        operator or getpass.getuser(),
        as_json=json,
        write=_write_line,
        write_error=_write_error_line,
        command_id=command_id,
    )
    if command_id and not words:
        _write_error_line('--command-id needs a command')
        return ExitCode.USAGE
    try:
        lines = _command_lines(words, file)
    except (OSError, UnicodeDecodeError) as error:
        _write_error_line(f'{file}: {error}')
        return ExitCode.USAGE
    highest_code = ExitCode.DONE
    for line in lines:
        code = uvloop.run(session.run(line))
        highest_code = max(highest_code, code)
        if code is not ExitCode.DONE and file is not None:
            _write_error_line(f'stopped at: {line}')
            break
    return highest_code


@app.command
def explain(
    url: Annotated[
        str,
        cyclopts.Parameter(help='URL of the request, such as http://h/p/1.'),
    ],
    *,
    entry: Annotated[
        str,
        cyclopts.Parameter(help='Metrics address of an entry host.'),
    ],
    account: Annotated[
        str,
        cyclopts.Parameter(help="Name of the caller's account."),
    ] = '',
) -> int:
    """Show where an entry host would send a request now; send nothing."""
    disable_io_uring()
    import uvloop  # noqa: PLC0415 - reads its variable when a loop is made

    try:
        view = uvloop.run(fetch_explanation(entry, url, account))
    except DaemonUnreachableError as error:
        _write_error_line(str(error))
        return ExitCode.UNREACHABLE
    _write_line(render_explanation(view))
    return ExitCode.REFUSED if view.refused else ExitCode.DONE


def _command_lines(words: tuple[str, ...], file: Path | None) -> Iterator[str]:
    if words:
        return iter((' '.join(words),))
    if file is not None:
        return _filter_commands(file.read_text('utf-8').splitlines())
    return _filter_commands(_prompt_lines())


def _filter_commands(lines) -> Iterator[str]:
    """Yield the commands before `exit` or `quit`.

    Blank lines and comments are skipped.
    """
    for line in lines:
        text = line.strip()
        if text in {'exit', 'quit'}:
            return
        if text and not text.startswith('#'):
            yield text


def _prompt_lines() -> Iterator[str]:
    prompt = PROMPT if sys.stdin.isatty() else ''
    while True:
        try:
            yield input(prompt)
        except (EOFError, KeyboardInterrupt):
            return


def _write_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')


def _write_error_line(text: str) -> None:
    sys.stderr.write(f'{text}\n')


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(app(result_action='return_value'))


if __name__ == '__main__':
    main()
