"""What the stand-in for the store holds."""

import copy
import json
import time

#: Time for which changes are kept, in seconds (``historyS``).
HISTORY_S = 20.0
#: Largest page: its number of items, and their length in bytes.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class StoredContent:
    """Items with revisions, leases and a history of changes."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 1
        self.listed: dict[str, dict] = {}
        #: Length in seconds and monotonic end of each lease, by its number.
        self.leases: dict[int, tuple[float, float]] = {}
        self._events: list[tuple[float, dict]] = []
        #: Revision of the newest change that was discarded.
        self._discarded = 0

    def take_copy(self) -> 'StoredContent':
        """Return a copy, which later changes do not reach."""
        return copy.deepcopy(self)

    def start_leases_anew(self) -> None:
        """Let all leases run from now on."""
        now = time.monotonic()
        for number, (length_s, _) in self.leases.items():
            self.leases[number] = (length_s, now + length_s)

    def write(self, key: str, text: str, lease: int) -> None:
        """Write an item with a value in base64."""
        self.revision += 1
        known = self.listed.get(key)
        created = self.revision if known is None else known['createRevision']
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'createRevision': created,
            'lease': lease,
        }
        self.listed[key] = item
        self._add_event(item)

    def remove(self, key: str) -> bool:
        """Remove an item; return whether there was one."""
        if self.listed.pop(key, None) is None:
            return False
        self.revision += 1
        event = {'key': key, 'revision': self.revision, 'removed': True}
        self._add_event(event)
        return True

    def discard_history(self) -> None:
        """Forget all changes so far."""
        self._events.clear()
        self._discarded = self.revision

    def has_history(self, after: int) -> bool:
        """Return whether the changes after a revision are known."""
        return self._discarded <= after <= self.revision

    def events_after(self, prefix: str, after: int) -> list[dict]:
        """Return the changes of some keys after a revision."""
        return [
            event
            for _, event in self._events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    def page(self, prefix: str, after: str) -> tuple[list[dict], bool]:
        """Return the items of a page, and whether more follow it."""
        keys = sorted(
            key for key in self.listed if key.startswith(prefix) and key > after
        )
        listed: list[dict] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(json.dumps(self.listed[key]))
            if listed and size > PAGE_BYTES:
                break
            listed.append(self.listed[key])
        return listed, len(listed) < len(keys)

    def _add_event(self, event: dict) -> None:
        now = time.monotonic()
        self._events.append((now, event))
        while self._events and now - self._events[0][0] > HISTORY_S:
            self._discarded = self._events.pop(0)[1]['revision']
