"""State charts, loaded from YAML files and run by ``sismic``."""

import functools
from importlib import resources

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart


@functools.cache
def load_chart(name: str) -> Statechart:
    """Load the chart called ``name`` from the package's ``charts`` folder."""
    folder = resources.files('oriolestage.core').joinpath('charts')
    return import_from_yaml(folder.joinpath(f'{name}.yaml').read_text('utf-8'))


class StateChart:
    """A running instance of a state chart."""

    def __init__(self, chart: Statechart) -> None:
        """Enter the initial state."""
        self._interpreter = Interpreter(chart)
        self._interpreter.execute()
        self._visited = set(self._interpreter.configuration)

    @property
    def state(self) -> str:
        """Name of the innermost active state."""
        return self._interpreter.configuration[-1]

    def fire(self, event: str) -> str:
        """Handle an event and return the name of the resulting state.

        An event without a transition in the current state is ignored.
        """
        self._interpreter.queue(event)
        self._interpreter.execute()
        self._visited.update(self._interpreter.configuration)
        return self.state

    def was_in(self, state: str) -> bool:
        """Return whether the chart ever entered ``state``."""
        return state in self._visited
