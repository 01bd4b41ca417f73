"""The operator tool: a command language for the query tier.

Operators show the state of the daemons and change their configuration with it.
"""

from oriolestage.tool._client import DaemonClient
from oriolestage.tool._documents import dump_document, load_document
from oriolestage.tool._errors import (
    AnswerLostError,
    CommandSyntaxError,
    DaemonUnreachableError,
)
from oriolestage.tool._exit_codes import ExitCode
from oriolestage.tool._explain import fetch_explanation, render_explanation
from oriolestage.tool._language import parse_command
from oriolestage.tool._session import Session

__all__ = (
    'AnswerLostError',
    'CommandSyntaxError',
    'DaemonClient',
    'DaemonUnreachableError',
    'ExitCode',
    'Session',
    'dump_document',
    'fetch_explanation',
    'load_document',
    'parse_command',
    'render_explanation',
)
