"""Tests of explanations of where a request would go."""

import unittest

from oriolestage.admission._accounts import Account, AccountDirectory
from oriolestage.routing._explanations import RequestView, explain_request
from oriolestage.routing._placement import Placement
from oriolestage.routing._rules import CallerLimits, RoutingTable, build_table
from oriolestage.routing.tests.builders import (
    make_group,
    make_placement,
    make_record,
    make_rule,
)

NOW = 10.0
PATH = '/rota/7?day=1'


def _table(account: Account | None = None) -> RoutingTable:
    accounts = AccountDirectory({} if account is None else {account: ('k',)})
    return build_table(3, (make_rule(),), (), CallerLimits(), accounts)


def _placement() -> Placement:
    records = (
        make_record('near'),
        make_record('far', data_centre='dc-b'),
        make_record('leaving', draining=True),
    )
    return make_placement(records=records)[0]


class ExplanationTest(unittest.TestCase):
    """An explanation names the choice that a request would get."""

    def _explain(
        self, table: RoutingTable | None, account: str = ''
    ) -> RequestView:
        return explain_request(
            table, _placement(), 'search.example', PATH, account, NOW
        )

    def test_same_choice(self) -> None:
        """Guards against an explanation that differs from the choice."""
        placement = _placement()
        view = explain_request(
            _table(), placement, 'search.example', PATH, '', NOW
        )
        service = view.services[0]
        self.assertEqual((view.version, view.route), (3, 'route'))
        self.assertEqual(service.chosen, 'near')
        obstacles = {shown.target: shown.obstacle for shown in service.targets}
        self.assertEqual(
            obstacles, {'near': '', 'far': '', 'leaving': 'draining'}
        )

    def test_limit(self) -> None:
        """A target at its limit is shown with the limit."""
        placement = _placement()
        near = next(placement.directory.usable('shard-0'))
        for attempt in range(100):
            placement.record_sent(near, attempt, NOW)
        view = explain_request(
            _table(), placement, 'search.example', PATH, '', NOW
        )
        service = view.services[0]
        self.assertEqual(service.chosen, 'far')
        shown = service.targets[0]
        self.assertEqual(
            (shown.obstacle, shown.outstanding), ('outstanding', 100)
        )

    def test_counts_nothing(self) -> None:
        """Guards against explanations that count as attempts."""
        placement = _placement()
        for _ in range(100):
            explain_request(
                _table(), placement, 'search.example', PATH, '', NOW
            )
        for target in placement.directory.all_targets():
            load = placement.observations.load_of(target)
            self.assertEqual(load.outstanding, 0)

    def test_refused(self) -> None:
        """What is refused before a choice is explained by its reason."""
        abroad = Account('kiosks', regions=frozenset(('region-x',)))
        cases = (
            (None, '', 'no_configuration'),
            (_table(abroad), '', 'unknown_account'),
            (build_table(3, (), (), CallerLimits()), '', 'unknown_route'),
        )
        for table, account, reason in cases:
            with self.subTest(reason=reason):
                self.assertEqual(self._explain(table, account).refused, reason)

    def test_regions_of_account(self) -> None:
        """Targets outside of the account's regions are not chosen."""
        account = Account('kiosks', regions=frozenset(('region-b',)))
        view = self._explain(_table(account), 'kiosks')
        self.assertEqual(view.services[0].chosen, 'far')

    def test_shards(self) -> None:
        """Each shard of a group is explained, also one without targets."""
        rule = make_rule(make_group(shards=2))
        table = build_table(3, (rule,), (), CallerLimits())
        view = self._explain(table)
        chosen = {shown.service: shown.chosen for shown in view.services}
        self.assertEqual(chosen, {'shard-0': 'near', 'shard-1': ''})
        self.assertEqual(view.services[1].reason, 'no usable target')
