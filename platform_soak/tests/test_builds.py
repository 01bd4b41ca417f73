"""Tests of earlier builds of the product."""

import tempfile
from pathlib import Path
from unittest import TestCase

from platform_soak.builds import check_out
from platform_soak.plan import PlanError


class TestCheckOut(TestCase):
    def test_files_of_a_commit(self):
        # Hosts of both builds would run the same files.
        with tempfile.TemporaryDirectory() as folder:
            build = check_out('HEAD', Path(folder) / 'build')
            self.assertTrue((build / 'deploy' / 'system.toml').is_file())
            self.assertTrue((build / 'oriolestage' / 'platform').is_dir())

    def test_unknown_commit(self):
        # A traceback does not say what to mend in the plan.
        with tempfile.TemporaryDirectory() as folder:
            with self.assertRaises(PlanError) as got:
                check_out('0123456', Path(folder))
            self.assertIn('0123456', str(got.exception))
