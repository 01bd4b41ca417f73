"""Tests of how long the store is asked to wait for changes."""

from unittest import IsolatedAsyncioTestCase, mock

from oriolestage.entry._ports import StorePosition
from oriolestage.platform._store import StoreClient
from oriolestage.platform._store_calls import StoreAnswer, StoreCalls

#: Longest wait that the store accepts, in seconds.
LONGEST_S = 30
MS_PER_S = 1000
ANSWER = StoreAnswer(b'{"events": [], "storeRevision": 5}', None)


class WatchWaitTest(IsolatedAsyncioTestCase):
    """Guards against watches that the store refuses for their length."""

    async def test_waits(self) -> None:
        """A longer propagation limit leads to no longer wait than accepted."""
        client = StoreClient('127.0.0.1:1')
        for wait_s, sent_s in ((3, 3), (LONGEST_S, LONGEST_S), (36, LONGEST_S)):
            with (
                self.subTest(wait_s=wait_s),
                mock.patch.object(
                    StoreCalls, 'call', mock.AsyncMock(return_value=ANSWER)
                ) as call,
            ):
                await client.changes_after(StorePosition(None, 5), wait_s)
                query = call.call_args.args[2]
                self.assertEqual(query['waitMs'], str(sent_s * MS_PER_S))
                self.assertEqual(call.call_args.kwargs['wait_s'], sent_s)
