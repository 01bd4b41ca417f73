"""The state of a host's life, as its chart says."""

from oriolestage.core._charts import StateChart, load_chart
from oriolestage.core._effects import Outbox


class NodeLifecycle:
    """Follows the chart of a host and logs its changes of state."""

    def __init__(self, outbox: Outbox) -> None:
        """Start in the chart's first state."""
        self._outbox = outbox
        self._chart = StateChart(load_chart('node'))
        self._state = self._chart.state

    @property
    def state(self) -> str:
        """Name of the state."""
        return self._state

    def fire(self, event: str) -> None:
        """Take in an event of the chart."""
        before = self._state
        self._state = self._chart.fire(event)
        if self._state != before:
            self._outbox.log(
                'node_state',
                step='node',
                state=self._state,
                before=before,
            )

    def update_configuration_state(self, *, loaded: bool, fresh: bool) -> None:
        """Take in what is known of the configuration now."""
        if loaded and self._state == 'joining':
            self.fire('configuration_loaded')
        if self._state == 'serving' and not fresh:
            self.fire('configuration_stale')
        if self._state == 'isolated' and fresh:
            self.fire('configuration_fresh')
