"""Keeps this host registered in the store, where other hosts find it.

A call that is not answered may still be done seconds later. So the host keeps
its lease until the store says that it has ended, and repeats the registration
under it: whichever of the calls are done, the registration is under the lease
that the host renews. If it is lost all the same, the host puts it back.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from oriolestage._logging import log_event
from oriolestage.entry._ports import (
    Lease,
    LeaseEndedError,
    Store,
    StoreError,
)
from oriolestage.routing._facts import HostRecord

#: Time to live of this host's lease, for which its registration remains after
#: a crash, in seconds.
LEASE_TTL_S = 8.0
#: Mean interval between lease renewals, in seconds.
RENEWAL_INTERVAL_S = 2.5
#: Range of the random factor on that interval, which keeps hosts from
#: renewing at the same time.
RENEWAL_JITTER = (0.9, 1.1)
#: Mean time after which a failed call is repeated, in seconds.
RETRY_INTERVAL_S = 0.75
#: Range of the random factor on that time.
RETRY_JITTER = (0.7, 1.3)
#: Time over which the hosts spread their new registrations after the store was
#: restored, in seconds.
RESTORED_SPREAD_S = 1.0
#: Interval of looking whether this host still finds itself among the
#: registered ones, in seconds. It takes no call.
LISTING_INTERVAL_S = 0.25
#: Shortest and longest time between two calls that look for a registration
#: that this host does not find, in seconds. The time doubles each time, since
#: the host may only be behind the store.
CHECK_INTERVAL_S = 1.0
MAX_CHECK_INTERVAL_S = 8.0


def _always_listed() -> bool:
    return True


class HostRegistration:
    """Keeps this host registered in the store under a renewed lease."""

    def __init__(
        self,
        store: Store,
        record: HostRecord,
        is_listed: Callable[[], bool] = _always_listed,
    ) -> None:
        """Create a registration of ``record``; :meth:`run` writes it.

        ``is_listed`` returns whether the host finds ``record`` among the
        registered hosts in its own copy of the store.
        """
        self._store = store
        self._record = record
        self._is_listed = is_listed
        self._lease: Lease | None = None
        #: Monotonic time at which the lease has to be renewed.
        self._renewal_due_at = float('-inf')
        #: Whether the registration was found or written under the lease.
        self._registered = False
        #: Monotonic time from which a missing registration is looked for.
        self._check_due_at = float('-inf')
        self._check_interval_s = CHECK_INTERVAL_S
        self._withdrawn = False
        #: Leases that the store has not confirmed to be ended.
        self._unwanted: list[Lease] = []
        #: Set when the store was restored or the host was withdrawn.
        self._interrupted = asyncio.Event()
        #: Limits the calls that are in progress.
        self._calls_limit: asyncio.Timeout | None = None
        store.eras.subscribe(self._interrupt)

    async def run(self) -> None:
        """Keep the host registered until cancelled.

        If the lease has ended, the host is registered anew at once. After a
        restoration of the store it is registered anew within
        `RESTORED_SPREAD_S`, since all hosts have to be. Once the host is
        withdrawn, it is not registered again.
        """
        while True:
            await self._wait(await self._advance())

    async def withdraw(self) -> None:
        """End the lease, so that other hosts no longer use this one.

        If that fails, :meth:`run` repeats it.
        """
        self._withdrawn = True
        self._interrupt()
        self._drop_lease()
        await self._end_unwanted()

    async def _advance(self) -> float:
        """Make the calls that are due; return the time until the next ones."""
        if self._withdrawn:
            await self._end_unwanted()
            return _retry_delay_s()
        known = self._registered
        limit = asyncio.timeout(None)
        self._calls_limit = limit
        try:
            async with limit:
                await self._register_and_renew()
        except TimeoutError:
            # Interrupted: its calls may never be answered.
            return 0
        except LeaseEndedError as error:
            log_event('registration_ended', {'error': error})
            self._lease = None
            self._registered = False
            return 0 if known else _retry_delay_s()
        except StoreError as error:
            log_event('registration_failed', {'error': error})
            return _retry_delay_s()
        finally:
            self._calls_limit = None
        return self._renewal_due_at - time.monotonic()

    async def _register_and_renew(self) -> None:
        lease = self._lease
        if lease is None:
            lease = await self._open_lease()
        elif time.monotonic() >= self._renewal_due_at:
            due_at = _next_renewal_at()
            await self._store.renew_lease(lease)
            self._renewal_due_at = due_at
        if self._withdrawn:
            return
        if not self._registered or self._check_due():
            await self._register(lease)

    async def _open_lease(self) -> Lease:
        due_at = _next_renewal_at()
        lease = await self._store.open_lease(LEASE_TTL_S)
        self._lease = lease
        self._renewal_due_at = due_at
        if self._withdrawn:
            self._drop_lease()
            await self._end_unwanted()
        return lease

    async def _register(self, lease: Lease) -> None:
        """Register the host, or find that it is registered.

        The registration may be gone or replaced: by a late call of an earlier
        process of this host, or by the end of another's lease after the
        store was restored.
        """
        self._check_due_at = time.monotonic() + CHECK_INTERVAL_S
        written = await self._store.register_host(self._record, lease)
        put_back = written and self._registered
        if put_back or not self._registered:
            log_event(
                'registration_put_back' if put_back else 'registered',
                {
                    'host': self._record.name,
                    'lease': lease.number,
                    'era': 'none' if lease.era is None else lease.era,
                    'written': written,
                },
            )
        # The host may have been withdrawn meanwhile.
        self._registered = lease == self._lease
        self._check_due_at = time.monotonic() + self._check_interval_s
        self._check_interval_s = min(
            MAX_CHECK_INTERVAL_S, 2 * self._check_interval_s
        )

    def _check_due(self) -> bool:
        """Return whether to look for a registration that seems missing."""
        if self._is_listed():
            self._check_interval_s = CHECK_INTERVAL_S
            return False
        return time.monotonic() >= self._check_due_at

    def _drop_lease(self) -> None:
        """Mark the lease as unwanted."""
        if self._lease is not None:
            self._unwanted.append(self._lease)
        self._lease = None
        self._registered = False

    async def _end_unwanted(self) -> None:
        """End leases, so that late registrations under them have no effect."""
        while self._unwanted:
            lease = self._unwanted.pop()
            ended = False
            try:
                await self._store.end_lease(lease)
                ended = True
            except LeaseEndedError as error:
                log_event('registration_ended', {'error': error})
                ended = True
            except StoreError as error:
                log_event('registration_not_ended', {'error': error})
                return
            finally:
                if not ended:
                    self._unwanted.append(lease)

    def _interrupt(self) -> None:
        self._interrupted.set()
        if self._calls_limit is not None:
            now = asyncio.get_running_loop().time()
            self._calls_limit.reschedule(now)

    async def _wait(self, wait_s: float) -> None:
        """Wait until the next calls are due, or the store was restored."""
        end_at = time.monotonic() + wait_s
        while not self._interrupted.is_set():
            left_s = end_at - time.monotonic()
            if left_s <= 0 or (self._registered and self._check_due()):
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, LISTING_INTERVAL_S)):
                    await self._interrupted.wait()
        self._interrupted.clear()
        if not self._withdrawn:
            await asyncio.sleep(random.uniform(0, RESTORED_SPREAD_S))
            self._renewal_due_at = float('-inf')


def _next_renewal_at() -> float:
    """Return when to renew a lease that is opened or renewed now.

    The time counts from before the call: the store may take it up at once and
    answer late.
    """
    return time.monotonic() + (
        RENEWAL_INTERVAL_S * random.uniform(*RENEWAL_JITTER)
    )


def _retry_delay_s() -> float:
    return RETRY_INTERVAL_S * random.uniform(*RETRY_JITTER)
