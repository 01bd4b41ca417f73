"""Runs all tests and compares their failures with KNOWN-RED.txt.

Each entry of KNOWN-RED.txt is a line ``test | command and seed | seen |
issue``. A listed test that fails is printed but does not fail the run. A listed
test that passes is printed too, so that its entry can be removed, and so is an
entry of something that is not run here, such as a script.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
#: Folders with tests.
FOLDERS = ('oriolestage', 'platform_soak', 'scenarios', 'stand_ins')


def main() -> int:
    """Run the tests and return the exit code.

    It is 1 if a test that is not listed fails or if no test was run, else 0.
    """
    suite = unittest.TestSuite()
    loader = unittest.TestLoader()
    for folder in FOLDERS:
        if (ROOT / folder).is_dir():
            suite.addTests(
                loader.discover(str(ROOT / folder), top_level_dir=str(ROOT)),
            )
    found = set(_test_ids(suite))
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    failed = {test.id() for test, _ in result.failures + result.errors}
    known_red = _known_red()
    for test_id in sorted(known_red):
        state = _state_of(test_id, failed, found)
        sys.stdout.write(f'KNOWN-RED {state}: {known_red[test_id]}\n')
    new_failures = failed - known_red.keys()
    passed = result.testsRun - len(failed)
    sys.stdout.write(f'{passed} passed, {len(new_failures)} failed\n')
    return 1 if new_failures or not result.testsRun else 0


def _test_ids(tests: unittest.TestSuite) -> Iterator[str]:
    for test in tests:
        if isinstance(test, unittest.TestSuite):
            yield from _test_ids(test)
        else:
            yield test.id()


def _state_of(test_id: str, failed: set[str], found: set[str]) -> str:
    """Return what became of a listed test.

    The id of a subtest is that of its test, a space and its parameters.
    """
    if test_id in failed:
        return 'fails'
    return 'passes now' if test_id.split(' ')[0] in found else 'not run'


def _known_red() -> dict[str, str]:
    if not KNOWN_RED.exists():
        return {}
    entries: dict[str, str] = {}
    for line in KNOWN_RED.read_text('utf-8').splitlines():
        if line.strip() and not line.startswith('#'):
            entries[line.split('|')[0].strip()] = line
    return entries


if __name__ == '__main__':
    sys.exit(main())
