"""Divides requests over services in proportion to their weights."""

from oriolestage.relay._rules import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin, one state for each route.

    Each choice gains its weight at each turn; the one with most goes next
    and pays the total. Shares hold over short spans too.
    """

    def __init__(self) -> None:
        """Start with no turns taken."""
        self._credits: dict[str, dict[str, float]] = {}

    def next_service(
        self,
        route: str,
        choices: tuple[WeightedService, ...],
    ) -> str:
        """Give the service whose turn it is."""
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
