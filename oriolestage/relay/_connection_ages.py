"""How long a caller may keep a connection to this host.

Answers the load pattern after hosts were away: the balancer sent their
callers to the hosts that were up, also to those of other regions, and open
connections stay where they are. Closing each connection after a while, and
at once while hosts return, lets the balancer place callers anew.
"""

#: Age after which a connection is closed with its next answer, in seconds.
#: A new connection costs a caller one way there and back.
AGE_LIMIT_S = 5.0
#: Time after the start of this host in which hosts that started together
#: come into the balancer's rotation, in seconds; it checks once a second.
SETTLING_S = 3.0


class ConnectionAgePolicy:
    """Decides when connections of callers are closed."""

    def __init__(self, started_at: float) -> None:
        """Note when this host started, in steady time."""
        self._settled_at = started_at + SETTLING_S

    def expired(self, opened_at: float, now: float) -> bool:
        """Tell whether a connection ends with the answer given now."""
        return now < self._settled_at or now - opened_at >= AGE_LIMIT_S
