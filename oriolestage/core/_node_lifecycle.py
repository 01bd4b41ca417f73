"""The life-cycle state of a host, driven by ``charts/node.yaml``."""

from oriolestage.core._charts import StateChart, load_chart
from oriolestage.core._effects import Outbox


class NodeLifecycle:
    """Runs the state chart of the host and logs each transition."""

    def __init__(self, outbox: Outbox) -> None:
        """Start in the chart's initial state."""
        self._outbox = outbox
        self._chart = StateChart(load_chart('node'))
        self._state = self._chart.state

    @property
    def state(self) -> str:
        """Name of the current state."""
        return self._state

    def fire(self, event: str) -> None:
        """Handle an event of the chart; log the transition, if there is one."""
        previous = self._state
        self._state = self._chart.fire(event)
        if self._state != previous:
            self._outbox.log(
                'node_state',
                step='node',
                state=self._state,
                before=previous,
            )

    def update_configuration_state(self, *, loaded: bool, fresh: bool) -> None:
        """Change state after the configuration was loaded, expired or renewed.

        ``fresh`` tells whether the configuration may be relied on now.
        """
        if loaded and self._state == 'joining':
            self.fire('configuration_loaded')
        if self._state == 'serving' and not fresh:
            self.fire('configuration_stale')
        if self._state == 'isolated' and fresh:
            self.fire('configuration_fresh')
