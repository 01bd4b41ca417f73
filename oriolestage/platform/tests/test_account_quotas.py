"""Tests of quotas from the caller's bytes to the answer."""

import unittest

from oriolestage.admission._quota_bounds import QuotaBounds
from oriolestage.admission._quota_ledger import LONGEST_CLOSED_S
from oriolestage.admission._quota_plan import START_FRACTION, plan_quota
from oriolestage.platform.tests.account_hosts import (
    ACCOUNT,
    HOST,
    KEY,
    PUBLIC_PATH,
    SINGLE_PATH,
    AccountHost,
)
from oriolestage.platform.tests.served_callers import (
    ask,
    parse_fields,
    status_of,
)

#: A limit that hardly rises during a test, and its tokens.
RATE = 0.01
BURST = 2
#: A host that has just started may not be the first owner of the account.
TOKENS = int(
    START_FRACTION * plan_quota(RATE, BURST, QuotaBounds()).owner.capacity
)
#: Requests beyond the tokens.
EXTRA = 3


async def _ask(host: AccountHost, path: str, *lines: str) -> bytes:
    fields = (f'Host: {HOST}', 'Attempt-Id: a', *lines, 'Connection: close')
    head = '\r\n'.join((f'GET {path} HTTP/1.1', *fields, '', ''))
    return await ask(host.address, (head.encode(),))


class AccountQuotaTest(unittest.IsolatedAsyncioTestCase):
    """An account that is over its limit is refused, and no other one is."""

    async def test_limit(self) -> None:
        """Guards against requests over the limit that run."""
        key = f'Authorization: Bearer {KEY}'
        other_key = 'Authorization: Bearer other-key'
        host = AccountHost()
        async with host.running(relayed=False):
            host.configure(
                tenants=[
                    {
                        'name': ACCOUNT,
                        'apiKeys': [KEY],
                        'ratePerS': RATE,
                        'burst': BURST,
                    },
                    {'name': 'other', 'apiKeys': ['other-key']},
                ],
            )
            received = [
                await _ask(host, SINGLE_PATH, key)
                for _ in range(TOKENS + EXTRA)
            ]
            public = await _ask(host, PUBLIC_PATH, key)
            without_key = await _ask(host, PUBLIC_PATH)
            others = await _ask(host, SINGLE_PATH, other_key)
        statuses = [status_of(answer) for answer in received]
        self.assertEqual(set(statuses[:TOKENS]), {200})
        self.assertEqual(set(statuses[TOKENS:]), {429})
        refused = parse_fields(received[-1].partition(b'\r\n\r\n')[0])
        retry_after_s = float(refused[b'retry-after'])
        self.assertGreaterEqual(retry_after_s, LONGEST_CLOSED_S - 1)
        self.assertEqual(status_of(public), 429)
        self.assertEqual(status_of(without_key), 200)
        self.assertEqual(status_of(others), 200)

    async def test_refused_without_run(self) -> None:
        """Guards against tokens that are used by requests that did not run."""
        key = f'Authorization: Bearer {KEY}'
        account: dict[str, object] = {
            'name': ACCOUNT,
            'apiKeys': [KEY],
            'ratePerS': RATE,
            'burst': BURST,
            'allowedRegions': ['region-b'],
        }
        host = AccountHost()
        async with host.running(relayed=False):
            # No target of the public route's service is in this region.
            host.configure(tenants=[account])
            for _ in range(TOKENS + EXTRA):
                answer = await _ask(host, PUBLIC_PATH, key)
                self.assertEqual(status_of(answer), 503)
            host.configure(tenants=[{**account, 'allowedRegions': []}])
            answer = await _ask(host, PUBLIC_PATH, key)
        self.assertEqual(status_of(answer), 200)
