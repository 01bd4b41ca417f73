"""Tests of the checks of accounts, keys and quotas."""

from unittest import TestCase

from platform_soak.account_checks import count_not_owed
from platform_soak.accounts import Account, accounts_of, key_headers
from platform_soak.disruptions import Cause
from platform_soak.tests.cases import Case, assert_verdicts
from platform_soak.tests.histories import (
    CALM_FROM,
    HOST,
    LOG,
    LOOKUP,
    SENT_AT,
    HistoryBuilder,
)

ACCOUNT = 'saffron'
KEY = 'key-saffron'
OTHER_KEY = 'key-of-nobody'
#: In 5 s 60 requests may run: (6 * 5 + 6.4) * 1.1 + 20.
LIMITED = Account(ACCOUNT, (KEY,), 6, 6.4)
WITHOUT_KEYS = Account(ACCOUNT, ())
ALLOWED = 60
#: Times of a version before the calls, due and not due.
DUE_AT = SENT_AT - 5
RECENT_AT = SENT_AT - 3


def _run(history: HistoryBuilder, key: str, account: str = '') -> None:
    history.run(history.add_call(LOOKUP, key=key), LOG, account=account)


def _own_account(history: HistoryBuilder) -> None:
    history.add_version(1, 0, LIMITED)
    _run(history, KEY, ACCOUNT)


def _account_of_the_caller(history: HistoryBuilder) -> None:
    history.add_version(1, 0, LIMITED)
    _run(history, KEY, 'claimed')


def _no_account(history: HistoryBuilder) -> None:
    history.add_version(1, 0, LIMITED)
    _run(history, KEY)


def _key_passed_on(history: HistoryBuilder) -> None:
    history.add_version(1, 0, LIMITED)
    call = history.add_call(LOOKUP, key=KEY)
    history.reach(call, LOG, account=ACCOUNT, has_key=True)


def _unknown_key_ran(history: HistoryBuilder) -> None:
    history.add_version(1, 0, LIMITED)
    history.disruptions.add(HOST, SENT_AT - 2, SENT_AT, Cause.KILL)
    _run(history, OTHER_KEY)


def _removed_key_ran(history: HistoryBuilder) -> None:
    history.add_version(1, 0, LIMITED)
    history.add_version(2, DUE_AT, WITHOUT_KEYS)
    _run(history, KEY, ACCOUNT)


def _key_ran_soon_after_its_removal(history: HistoryBuilder) -> None:
    history.add_version(1, 0, LIMITED)
    history.add_version(2, RECENT_AT, WITHOUT_KEYS)
    _run(history, KEY, ACCOUNT)


def _removed_key_ran_without_contact(history: HistoryBuilder) -> None:
    _removed_key_ran(history)
    history.disruptions.add(HOST, SENT_AT - 2, SENT_AT, Cause.FREEZE)


def _added_key_was_refused(history: HistoryBuilder) -> None:
    history.add_version(1, 0, WITHOUT_KEYS)
    history.add_version(2, DUE_AT, LIMITED)
    history.add_call(LOOKUP, key=KEY, status=401)


def _key_was_refused_soon_after_it_was_added(history: HistoryBuilder) -> None:
    history.add_version(1, 0, WITHOUT_KEYS)
    history.add_version(2, RECENT_AT, LIMITED)
    history.add_call(LOOKUP, key=KEY, status=401)


def _old_key_was_refused_after_a_start(history: HistoryBuilder) -> None:
    history.add_version(1, 0, LIMITED)
    history.disruptions.add(HOST, SENT_AT - 2, SENT_AT, Cause.KILL)
    history.add_call(LOOKUP, key=KEY, status=401)


def _other_keys_were_refused(history: HistoryBuilder) -> None:
    # More than the requests that the rules allow to be denied.
    history.add_version(1, 0, LIMITED)
    for _ in range(20):
        history.add_call(LOOKUP, key=OTHER_KEY, status=401)


def _others_at_the_end(history: HistoryBuilder) -> None:
    # Requests that are over a limit are not to be served in the calm.
    history.add_version(1, 0, LIMITED)
    for _ in range(20):
        history.add_call(LOOKUP, key=KEY, status=429, sent_at=CALM_FROM + 1)


def _send_many(history: HistoryBuilder, count: int, over_s: float) -> None:
    history.add_version(1, 0, LIMITED)
    for number in range(count):
        sent_at = SENT_AT + number * over_s / (count - 1)
        call = history.add_call(LOOKUP, key=KEY, sent_at=sent_at)
        history.run(call, LOG, account=ACCOUNT)


def _too_many_in_a_window(history: HistoryBuilder) -> None:
    _send_many(history, ALLOWED + 1, 4.9)


def _as_many_as_allowed(history: HistoryBuilder) -> None:
    _send_many(history, ALLOWED, 4.9)


def _too_many_in_more_than_a_window(history: HistoryBuilder) -> None:
    _send_many(history, ALLOWED + 1, 5.1)


def _attempts_of_hosts_for_one_request(history: HistoryBuilder) -> None:
    _send_many(history, ALLOWED, 4.9)
    history.run(history.calls[0], LOG, account=ACCOUNT)


class TestAccountChecks(TestCase):
    def test_targets_get_the_account_and_no_key(self):
        # A caller could act for another account, and targets use its key.
        assert_verdicts(
            self,
            (
                Case(_own_account),
                Case(_account_of_the_caller, ('ACCOUNT',)),
                Case(_no_account, ('ACCOUNT',)),
                Case(_key_passed_on, ('ACCOUNT',)),
            ),
        )

    def test_keys_are_valid_as_long_as_versions_hold_them(self):
        # A key that was withdrawn stays usable, or a new one is of no use.
        assert_verdicts(
            self,
            (
                Case(_unknown_key_ran, ('KEY',)),
                Case(_removed_key_ran, ('KEY',)),
                Case(_key_ran_soon_after_its_removal),
                Case(_removed_key_ran_without_contact),
                Case(_added_key_was_refused, ('KEY',)),
                Case(_key_was_refused_soon_after_it_was_added),
                Case(_old_key_was_refused_after_a_start, ('KEY',)),
                Case(_other_keys_were_refused),
            ),
        )

    def test_accounts_keep_their_limit(self):
        # One account takes what the others pay for.
        assert_verdicts(
            self,
            (
                Case(_too_many_in_a_window, ('QUOTA',)),
                Case(_as_many_as_allowed),
                Case(_too_many_in_more_than_a_window),
                Case(_attempts_of_hosts_for_one_request),
                Case(_others_at_the_end),
            ),
        )


class TestAccounts(TestCase):
    def test_versions_add_and_remove_a_key(self):
        # Checks of keys would hold if no key ever changed.
        keys = [
            {key for account in accounts_of(number) for key in account.keys}
            for number in (1, 2)
        ]
        self.assertEqual(len(keys[0] - keys[1]), 1)
        self.assertEqual(len(keys[1] - keys[0]), 1)

    def test_runs_without_accounts_send_no_headers(self):
        # Hosts without accounts would be tested with other requests.
        self.assertEqual(key_headers(''), {})

    def test_what_is_not_owed(self):
        # A run fails that answers all it owes, or holds with refusals of it.
        cases = (
            (_own_account, 0),
            (_other_keys_were_refused, 20),
            (_added_key_was_refused, 0),
            (_key_was_refused_soon_after_it_was_added, 1),
            (_old_key_was_refused_after_a_start, 0),
            # In 4.9 s 6 * 4.9 + 6.4 = 35.8 are owed.
            (_as_many_as_allowed, 24),
        )
        for build, expected in cases:
            with self.subTest(build.__name__):
                history = HistoryBuilder()
                build(history)
                self.assertEqual(count_not_owed(history.build()), expected)
