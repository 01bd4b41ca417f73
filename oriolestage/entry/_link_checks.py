"""Keeps the streams to other hosts open and tracks their state."""

import asyncio
import time

from oriolestage._logging import log_event
from oriolestage.entry._peer_client import PeerClient
from oriolestage.entry._store_follower import StoreFollower
from oriolestage.routing._peers import PeerDirectory

#: Interval of checking the streams to other hosts, in seconds.
LINK_CHECK_INTERVAL_S = 0.5


async def check_links(
    peers: PeerDirectory, client: PeerClient, follower: StoreFollower
) -> None:
    """Keep streams to other hosts open and track their state.

    Runs until cancelled and logs each change of state.
    """
    while True:
        addresses = peers.remote_addresses() | peers.own_region_addresses()
        links = await client.check_links(addresses)
        now = time.monotonic()
        own = follower.freshness
        for address, link in links.items():
            state = peers.record_link_state(address, link, own, now)
            if state is None:
                continue
            known = link.freshness
            log_event(
                f'peer_{state.value}',
                {
                    'step': 'link',
                    'peer': address,
                    'heard_ago_s': now - link.heard_at,
                    'revision': 'unknown' if known is None else known.revision,
                    'own_revision': own.revision,
                    'era': 'none' if known is None else known.era,
                    'own_era': own.era,
                    'store_age_s': 'unknown' if known is None else known.age_s,
                },
            )
        await asyncio.sleep(LINK_CHECK_INTERVAL_S)
