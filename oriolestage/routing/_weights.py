"""Distributes requests over services in proportion to their weights."""

from oriolestage.routing._rules import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin, with separate state for each route.

    Each turn adds its weight to the credit of every choice, selects the
    choice with the most credit and subtracts the total weight from it. The
    requests to one choice are thus interleaved with the others instead of
    sent in bursts.
    """

    def __init__(self) -> None:
        """Start without credits."""
        self._credits: dict[str, dict[str, float]] = {}

    def next_service(
        self,
        route: str,
        choices: tuple[WeightedService, ...],
    ) -> str:
        """Return the next service of a route.

        If the names of the choices have changed, all credits restart at 0.
        """
        names = {choice.name for choice in choices}
        credits_left = self._credits.get(route)
        if credits_left is None or credits_left.keys() != names:
            credits_left = dict.fromkeys(names, float(0))
            self._credits[route] = credits_left
        best = choices[0].name
        total: float = 0
        for choice in choices:
            total += choice.weight
            credits_left[choice.name] += choice.weight
            if credits_left[choice.name] > credits_left[best]:
                best = choice.name
        credits_left[best] -= total
        return best
