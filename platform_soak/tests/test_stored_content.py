"""Tests of what the stand-in for the store holds."""

import unittest

from platform_soak.stored_content import (
    PAGE_BYTES,
    PAGE_ITEMS,
    StoredContent,
)


def _read_all(content: StoredContent) -> list[list[str]]:
    """Return the keys of each page of all items."""
    pages: list[list[str]] = []
    has_more = True
    while has_more:
        after = pages[-1][-1] if pages else ''
        listed, has_more = content.page('', after)
        pages.append([item['key'] for item in listed])
    return pages


class TestStoredContent(unittest.TestCase):
    def setUp(self) -> None:
        """Start empty."""
        self._content = StoredContent()

    def test_pages_end_at_either_limit(self):
        # With pages of any length hosts would never read in pieces.
        for size, per_page in (
            (1, PAGE_ITEMS),
            (PAGE_BYTES // 3, 2),
            (PAGE_BYTES, 1),
            (2 * PAGE_BYTES, 1),
        ):
            with self.subTest(size=size):
                self.setUp()
                keys = [f'{number:04}' for number in range(2 * per_page + 1)]
                for key in keys:
                    self._content.write(key, 'x' * size, 0)
                pages = _read_all(self._content)
                self.assertEqual([key for page in pages for key in page], keys)
                self.assertEqual(
                    [len(page) for page in pages], [per_page, per_page, 1]
                )

    def test_copy_knows_nothing_of_later_changes(self):
        # A copy that changes with the store is none to come back from.
        self._content.write('a', '1', 0)
        copied = self._content.take_copy()
        self._content.write('a', '2', 0)
        self._content.remove('a')
        self._content.leases[1] = (1, 1)
        self.assertEqual(copied.listed['a']['value'], '1')
        self.assertEqual(copied.leases, {})
        self.assertEqual(copied.revision, self._content.revision - 2)
        self.assertFalse(copied.has_history(self._content.revision))

    def test_history_is_known_or_not(self):
        # A watch after lost changes must not look as if there were none.
        for key in 'ab':
            self._content.write(key, '', 0)
        revision = self._content.revision
        self.assertTrue(self._content.has_history(revision - 2))
        self.assertFalse(self._content.has_history(revision + 1))
        events = self._content.events_after('', revision - 1)
        self.assertEqual([event['key'] for event in events], ['b'])
        self._content.discard_history()
        self.assertFalse(self._content.has_history(revision - 1))
        self.assertTrue(self._content.has_history(revision))
