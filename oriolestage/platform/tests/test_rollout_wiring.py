"""Tests of where roll-outs are enabled."""

import tempfile
import unittest
from pathlib import Path

from oriolestage.entry._composition import EntryHost, _build_host
from oriolestage.entry._guards import build_guards
from oriolestage.platform._settings import load_settings
from oriolestage.platform._store import StoreClient
from oriolestage.platform._wire_protocol import PlatformWireProtocol

TEXT = """
nodeName: host-1
ip: 127.0.0.1
zone: dc-a
region: north
zones: {dc-a: north}
endpoints: {front: "127.0.0.1:1", ready: "127.0.0.1:1"}
portRange: [7380, 7395]
bounds: {graceS: 6, contactMs: 5000}
platform: {address: "127.0.0.1:2", form: kv}
"""


def _build(text: str) -> EntryHost:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'local.yaml'
        path.write_text(text, 'utf-8')
        settings = load_settings(path)
    return _build_host(
        settings,
        StoreClient(settings.store_address),
        PlatformWireProtocol(),
        build_guards(settings),
    )


class WiringTest(unittest.IsolatedAsyncioTestCase):
    """Roll-outs change nothing unless the settings list their policy."""

    async def test_not_enabled(self) -> None:
        """Guards against roll-outs where nobody asked for them."""
        host = _build(TEXT)
        self.assertIsNone(host.rollouts)
        names = {metric.name for metric in host.metrics.collect()}
        self.assertNotIn('oriolestage_rollouts', names)

    async def test_enabled(self) -> None:
        """The policy adds the controller, the counts and the metrics."""
        host = _build(f'{TEXT}policies: [rollout]\n')
        self.assertIsNotNone(host.rollouts)
        names = {metric.name for metric in host.metrics.collect()}
        self.assertIn('oriolestage_rollouts', names)
        self.assertIn('oriolestage_rollout_share', names)
