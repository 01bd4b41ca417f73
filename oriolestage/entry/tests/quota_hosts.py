"""Hosts that exchange quotas over streams on loopback."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable, Mapping

from oriolestage.admission._accounts import Account, AccountDirectory
from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_client import QuotaClient
from oriolestage.admission._quota_hosts import QuotaHosts
from oriolestage.admission._quota_ledger import QuotaLedger
from oriolestage.entry._quota_exchange import QuotaExchange
from oriolestage.entry._quota_log import QuotaLog
from oriolestage.entry._quota_wire import QuotaMessage, QuotaVerdicts
from oriolestage.entry._target_client import TargetCall
from oriolestage.entry.tests.peer_requests import start_peer_server
from oriolestage.routing._answers import AttemptLost, AttemptOutcome
from oriolestage.routing._facts import HostRecord
from oriolestage.routing.tests.builders import make_placement


class NoTarget:
    """Loses every attempt."""

    async def send(self, call: TargetCall) -> AttemptOutcome:
        """Lose an attempt."""
        return AttemptLost('target.none')


def make_exchange(
    name: str,
    accounts: Callable[[], AccountDirectory],
    records: Mapping[str, HostRecord],
    log: QuotaLog,
) -> QuotaExchange:
    """Return the quotas of a host that knows other hosts."""
    bounds = QuotaBounds()
    client = QuotaClient(name, bounds)
    client.replace_hosts(QuotaHosts({other: 'region-a' for other in records}))
    return QuotaExchange(
        name,
        client,
        QuotaLedger(bounds),
        accounts,
        lambda: records,
        lambda data_centre: 'region-a',
        log,
    )


@contextlib.asynccontextmanager
async def running_exchanges(
    names: tuple[str, ...], account: Account
) -> AsyncIterator[dict[str, QuotaExchange]]:
    """Run hosts that know one another and one account."""
    directory = AccountDirectory({account: ('key',)})

    def find_accounts() -> AccountDirectory:
        return directory

    records: dict[str, HostRecord] = {}
    exchanges: dict[str, QuotaExchange] = {}
    async with contextlib.AsyncExitStack() as stack:
        for name in names:
            answer = functools.partial(_answer, exchanges, name)
            placement, _ = make_placement(name=name)
            server, address = await start_peer_server(
                placement, NoTarget(), answer
            )
            records[name] = HostRecord(name, 'dc-a', address)
            stack.callback(server.close)
        for name in names:
            exchange = make_exchange(name, find_accounts, records, QuotaLog())
            exchanges[name] = exchange
            stack.callback(exchange.close)
            task = asyncio.create_task(exchange.run())
            stack.callback(task.cancel)
        yield exchanges


def _answer(
    exchanges: Mapping[str, QuotaExchange], name: str, message: QuotaMessage
) -> QuotaVerdicts | None:
    return exchanges[name].answer(message)
