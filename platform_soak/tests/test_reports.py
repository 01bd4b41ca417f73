"""Tests of the picture of a run."""

import tempfile
from pathlib import Path
from unittest import TestCase

from matplotlib import image
from matplotlib import pyplot as plt

from platform_soak.report import draw, name_of, outcome_of, write_report
from platform_soak.run_files import LoggedEvent, read_run
from platform_soak.tests.runs import ENDS, FAULTS, HOSTS, write_run

LEAST_PIXELS = 500


class TestReport(TestCase):
    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self._folder = Path(temporary.name)
        write_run(self._folder)

    def test_picture_is_written(self):
        # Without a picture a breach has to be traced from thousands of lines.
        path = write_report(self._folder)
        self.assertEqual(path.suffix, '.png')
        height, width, _ = image.imread(path).shape
        self.assertGreater(min(height, width), LEAST_PIXELS)

    def test_times_count_from_the_start_of_traffic(self):
        # Faults and requests would be drawn seconds apart.
        run = read_run(self._folder)
        self.assertEqual([event['at'] for event in run.of('version')], [8])
        self.assertEqual(run.of('breach')[0]['breached_at'], 4.5)
        logged = run.logs['edge-1']
        self.assertEqual(
            [line.event for line in logged],
            ['started', 'configuration_in_force'],
        )
        self.assertAlmostEqual(logged[0].at_s, -1)
        self.assertIsInstance(logged[1], LoggedEvent)

    def test_each_host_fault_version_and_breach_is_named(self):
        # A line without a name says nothing.
        figure = draw(read_run(self._folder))
        self.addCleanup(plt.close, figure)
        texts = [
            text.get_text().strip()
            for axes in figure.axes
            for text in axes.texts
        ]
        for fault in FAULTS:
            self.assertIn(name_of(fault), texts)
        for label in ('v2', 'evacuated ege-a', 'LOST'):
            self.assertIn(label, texts)
        labels = [axes.get_ylabel() for axes in figure.axes]
        for host in HOSTS:
            self.assertTrue(any(host in label for label in labels), labels)

    def test_each_outcome_is_told_apart(self):
        # Requests that were cut would look like those that were refused.
        outcomes = {
            outcome_of({'kind': kind, 'status': status, 'problem': problem})
            for kind, status, problem in ENDS
        }
        self.assertEqual(len(outcomes), len(ENDS))
