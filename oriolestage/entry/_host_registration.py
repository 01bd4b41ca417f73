"""Keeps this host registered in the store, where other hosts find it."""

import asyncio
import random

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
#: Time over which the hosts spread their new registrations after the store was
#: restored, in seconds.
RESTORED_SPREAD_S = 1.0


class HostRegistration:
    """Keeps this host registered in the store under a renewed lease."""

    def __init__(self, store: Store, record: HostRecord) -> None:
        """Create a registration of ``record``; :meth:`run` writes it."""
        self._store = store
        self._record = record
        self._lease: Lease | None = None
        self._restored = asyncio.Event()
        store.eras.subscribe(self._restored.set)

    async def run(self) -> None:
        """Register the host and renew its lease until cancelled.

        If the lease has ended, the host is registered anew at once. After a
        restoration of the store it is registered anew within
        `RESTORED_SPREAD_S`, since all hosts have to be.
        """
        while True:
            try:
                await self._register_or_renew()
            except LeaseEndedError as error:
                log_event('registration_ended', {'error': error})
                self._lease = None
                continue
            except StoreError as error:
                log_event('registration_failed', {'error': error})
            await self._wait_for_renewal()

    async def withdraw(self) -> None:
        """End the lease, so that other hosts no longer use this one."""
        lease = self._lease
        self._lease = None
        if lease is None:
            return
        try:
            await self._store.end_lease(lease)
        except StoreError as error:
            log_event('registration_not_ended', {'error': error})

    async def _wait_for_renewal(self) -> None:
        """Wait for the next renewal, or until the store was restored."""
        try:
            async with asyncio.timeout(
                RENEWAL_INTERVAL_S * random.uniform(*RENEWAL_JITTER)
            ):
                await self._restored.wait()
        except TimeoutError:
            return
        self._restored.clear()
        await asyncio.sleep(random.uniform(0, RESTORED_SPREAD_S))

    async def _register_or_renew(self) -> None:
        if self._lease is not None:
            await self._store.renew_lease(self._lease)
            return
        self._restored.clear()
        lease = await self._store.open_lease(LEASE_TTL_S)
        await self._store.register_host(self._record, lease)
        self._lease = lease
        log_event(
            'registered',
            {
                'host': self._record.name,
                'lease': lease.number,
                'era': 'none' if lease.era is None else lease.era,
            },
        )
