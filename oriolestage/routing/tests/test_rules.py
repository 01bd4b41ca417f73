"""Tests of the routing table."""

import unittest

from oriolestage.routing._rules import CallerLimits, RouteRule, build_table
from oriolestage.routing.tests.builders import make_rule


def _rules() -> tuple[RouteRule, ...]:
    return (
        make_rule(name='short', path_prefix='/a/'),
        make_rule(name='long', path_prefix='/a/b/'),
        make_rule(name='other', host='other.example', path_prefix='/a/'),
    )


class RoutingTableTest(unittest.TestCase):
    """Rules match by host name and longest path prefix."""

    def test_find(self) -> None:
        """Find the rule for the host and path, or none."""
        table = build_table(1, _rules(), (), CallerLimits())
        cases = (
            ('search.example', '/a/x', 'short'),
            ('search.example', '/a/b/x', 'long'),
            ('SEARCH.example', '/a/b/', 'long'),
            ('other.example', '/a/b/x', 'other'),
            ('search.example', '/ab/x', ''),
            ('search.example', '/a', ''),
            ('unknown.example', '/a/x', ''),
        )
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                rule = table.find(host, path)
                name = '' if rule is None else rule.name
                self.assertEqual(name, expected)
