"""Tests of parsing the operator command language."""

import unittest

from oriolestage.core import (
    AnswerPolicy,
    PutRoute,
    Route,
    RouteKind,
    SetDataCentreAccepting,
    SetTargetLimits,
)
from oriolestage.tool import CommandSyntaxError, parse_command
from oriolestage.tool._commands import (
    Compare,
    Condition,
    MakeChange,
    Show,
    Watch,
)


class ParseTest(unittest.TestCase):
    """Valid commands are parsed; errors point at the invalid word."""

    def test_commands(self) -> None:
        """Several kinds of commands are parsed with their options."""
        cases = (
            ('show hosts', Show('hosts')),
            (
                'show targets where state = warm last 3',
                Show('targets', (Condition('state', 'warm'),), 3),
            ),
            (
                'take out datacentre ege-a confirm',
                MakeChange(SetDataCentreAccepting('ege-a', False, True)),
            ),
            (
                'bring back datacentre ege-a',
                MakeChange(SetDataCentreAccepting('ege-a', True)),
            ),
            (
                'set limit t-1 slots 2 connections 25',
                MakeChange(SetTargetLimits('t-1', 2, 25)),
            ),
            (
                'add route r to g kind command policy latency '
                'timeout 2s answer by 150ms',
                MakeChange(
                    PutRoute(
                        Route(
                            'r',
                            'g',
                            RouteKind.COMMAND,
                            AnswerPolicy.LATENCY,
                            2000,
                            150,
                        ),
                    ),
                ),
            ),
            ('watch revision 7 for 1min', Watch(7, 60_000)),
            ('compare 3 with 5', Compare(3, 5)),
        )
        for text, expected in cases:
            with self.subTest(text):
                self.assertEqual(parse_command(text), expected)

    def test_syntax_errors(self) -> None:
        """The error gives the column and the words expected there."""
        cases = (
            ('take out datacenter x', 'column 10: expected "datacentre"'),
            ('show', 'column 5: expected "configuration"'),
            ('compare 1 with', 'column 15: expected a number'),
            ('shwo hosts', 'column 1: expected "add"'),
            ('', 'column 1: expected "add"'),
        )
        for text, expected in cases:
            with self.subTest(text):
                with self.assertRaises(CommandSyntaxError) as caught:
                    parse_command(text)
                self.assertIn(expected, str(caught.exception))
