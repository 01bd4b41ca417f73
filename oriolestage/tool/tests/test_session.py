"""Tests of running commands against a daemon's answers."""

import unittest

from oriolestage.core import Configuration, UnreadableValue
from oriolestage.tool import DaemonClient, ExitCode, Session
from oriolestage.views import NodeView

KEY = 'config/revision/0000000002'


class ScriptedClient(DaemonClient):
    """A client of one daemon, which gives the same view each time."""

    def __init__(self, view: NodeView) -> None:
        """Create a client that returns ``view``."""
        super().__init__(['127.0.0.1:7002'])
        self._view = view

    async def view(self) -> NodeView:
        """Return the view."""
        return self._view


class UnreadableValueTest(unittest.IsolatedAsyncioTestCase):
    """The tool names values in the store that the daemon cannot use."""

    async def test_warning_names_the_key(self) -> None:
        """Guards against a change that never arrives and has no trace."""
        view = NodeView(
            host='entry-1',
            state='serving',
            ready=True,
            revision=1,
            queries_in_flight=0,
            hosts=(),
            targets=(),
            document=Configuration(),
            history=(),
            unreadable=(UnreadableValue(KEY, 3, 'nested too deeply', 12.3),),
        )
        errors: list[str] = []
        session = Session(
            ScriptedClient(view),
            'tests',
            as_json=False,
            write=lambda text: None,
            write_error=errors.append,
        )
        code = await session.run('show configuration')
        self.assertEqual(code, ExitCode.DONE)
        self.assertEqual(len(errors), 1)
        for expected in (KEY, 'version 3', '12 s', 'nested too deeply'):
            self.assertIn(expected, errors[0])
