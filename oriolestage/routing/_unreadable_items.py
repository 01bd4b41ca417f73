"""Items of the store that cannot be parsed."""

from collections.abc import Iterable

from oriolestage.routing._facts import StoredFact, UnreadableItem


class UnreadableItems:
    """Tells a new problem with an item from one that is known.

    Other writers may write the same item again and again.
    """

    def __init__(self) -> None:
        """Start without items."""
        #: Problem and version in force when it was found, by name.
        self._known: dict[str, tuple[str, int]] = {}

    def __len__(self) -> int:
        """Return the number of items that cannot be parsed."""
        return len(self._known)

    def record(self, fact: UnreadableItem, version: int) -> bool:
        """Record a problem; return whether it is a new one.

        With another ``version`` of the configuration it is: the item may be
        the configuration, which was valid in between.
        """
        problem = (fact.problem, version)
        if self._known.get(_name(fact)) == problem:
            return False
        self._known[_name(fact)] = problem
        return True

    def forget(self, target: str) -> None:
        """Forget a target's registration, which is valid or gone."""
        self._known.pop(target, None)

    def forget_unlisted(self, listed: Iterable[StoredFact]) -> None:
        """Forget the items that a full read does not list as unreadable."""
        names = {
            _name(fact) for fact in listed if isinstance(fact, UnreadableItem)
        }
        for name in self._known.keys() - names:
            self._known.pop(name)


def _name(fact: UnreadableItem) -> str:
    """Return the identity of the target or else the key."""
    return fact.target or fact.key
