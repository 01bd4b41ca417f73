"""Property tests of all decoders of bytes from outside."""

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from oriolestage.platform.tests.decoder_checks import (
    check_headers,
    check_item,
    check_settings,
    check_value,
)
from oriolestage.platform.tests.mutations import (
    header_values,
    stored_items,
    setting_texts,
    stored_values,
)

#: Same examples in every run, few enough for some seconds in all.
BOUNDS = settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class DecoderFuzzTest(unittest.TestCase):
    """Guards against an unforeseen message whose error ends the reading."""

    @BOUNDS
    @given(stored_items())
    def test_items(self, item: tuple[str, bytes]) -> None:
        """Any item is read, and the next good one is applied after it."""
        check_item(*item)

    @BOUNDS
    @given(stored_values(), st.sampled_from(('servers/i-1', 'op/config', 'x')))
    def test_values(self, stored: object, key: str) -> None:
        """A value need not be base64 text."""
        check_value(key, stored)

    @BOUNDS
    @given(header_values())
    def test_headers(self, text: str) -> None:
        """Any header is read or raises the error that is expected."""
        check_headers(text)

    @settings(BOUNDS, max_examples=50)
    @given(setting_texts())
    def test_settings(self, text: str) -> None:
        """Any settings file is read or raises the error that is expected."""
        check_settings(text)
