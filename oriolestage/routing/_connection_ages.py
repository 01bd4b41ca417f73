"""Limits the age of callers' connections to this host.

While hosts are down, the load balancer sends their callers to other hosts,
also to those of other regions, and open connections stay there when the hosts
return. Closing connections after a while, and after the first answer while
this host starts, lets the load balancer distribute the callers again.
"""

#: Age after which a connection is closed with its next answer, in seconds.
#: A new connection costs the caller one round trip.
AGE_LIMIT_S = 5.0
#: Time after the start of this host in which each connection is closed with
#: its next answer, in seconds. Within it the load balancer, which checks the
#: hosts once a second, brings hosts that started together into rotation.
SETTLING_S = 3.0


class ConnectionAgePolicy:
    """Decides which connections of callers to close after an answer."""

    def __init__(self, started_at: float) -> None:
        """Start the settling time at ``started_at``, in monotonic time."""
        self._settled_at = started_at + SETTLING_S

    def expired(self, opened_at: float, now: float) -> bool:
        """Return whether to close a connection after the present answer."""
        return now < self._settled_at or now - opened_at >= AGE_LIMIT_S
