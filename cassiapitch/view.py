"""The view: the items of the replicated state that entries need, and its deltas.

For each index, only the names of the changed items are retained. A delta carries the
items' current values, so any number of changes merge into one delta, and a delta never
carries a value that has already been replaced.
"""

import bisect
import collections
import dataclasses
from collections.abc import Iterable
from typing import Any

from cassiapitch import codec
from cassiapitch.messages import (
    ViewDelta,
    ViewSnapshot,
)

RETAINED_CHANGES_COUNT = 4_096
# Each link whose entry reads slowly holds an encoded part.
SNAPSHOT_PART_BYTES = 32 * 1024
# With more changed names at once, a former snapshot would keep much of the former view.
SNAPSHOT_CHANGES_LIMIT_COUNT = 256

# Maps names of changed items to their new value, None for a deleted item.
Changes = dict[str, Any]


@dataclasses.dataclass(slots=True)
class View:
    """Items as of `index`, and the names of the items that recent commands changed.

    Attributes:
        index: Index of the last applied log entry.
        items: Maps item names to their encoded value.
        changes: (index, changed names) of recent commands, oldest first.
        oldest_delta_index: Deltas can be made from this index on.
        last_delta: The last delta that was made. Most links of a hub are at the same
            index, so they get the same object, which the codec encodes once.
        last_snapshot: Parts of the last snapshot that was made. Later ones share the
            items of the parts in which nothing has changed.
    """

    index: int = 0
    items: dict[str, bytes] = dataclasses.field(default_factory=dict)
    changes: collections.deque[tuple[int, tuple[str, ...]]] = dataclasses.field(
        default_factory=collections.deque
    )
    oldest_delta_index: int = 0
    last_delta: ViewDelta | None = None
    last_snapshot: list[ViewSnapshot] = dataclasses.field(default_factory=list)


def encode_items(values: dict[str, Any]) -> dict[str, bytes]:
    """Returns the encoded items by name, sorted by name."""
    return {name: codec.encode(values[name]) for name in sorted(values)}


def apply_changes(view: View, index: int, changes: Changes) -> None:
    """Applies changes and advances the view to `index`.

    Items whose encoded value stays the same don't count as changed.
    """
    names = [name for name in sorted(changes) if _replace(view, name, changes[name])]
    view.index = index
    view.last_delta = None
    if names:
        view.changes.append((index, tuple(names)))
    while len(view.changes) > RETAINED_CHANGES_COUNT:
        view.oldest_delta_index = view.changes.popleft()[0]
    if view.last_snapshot and (
        len(names) > SNAPSHOT_CHANGES_LIMIT_COUNT
        or not can_make_delta(view, view.last_snapshot[0].index)
    ):
        view.last_snapshot = []


def _replace(view: View, name: str, value: Any) -> bool:
    previous = view.items.get(name)
    if value is None:
        return view.items.pop(name, None) is not None
    encoded = codec.encode(value)
    if encoded == previous:
        return False
    view.items[name] = encoded
    return True


def advance(view: View, index: int) -> None:
    """Advances the index past log entries that carry no command."""
    view.index = max(view.index, index)


def reset(view: View, index: int, values: dict[str, Any]) -> None:
    """Replaces the whole view after a snapshot was restored."""
    view.items = encode_items(values)
    view.index = index
    view.changes.clear()
    view.oldest_delta_index = index
    view.last_delta = None
    view.last_snapshot = []


def can_make_delta(view: View, since_index: int) -> bool:
    """Tells whether a delta from index `since_index` can be made."""
    return view.oldest_delta_index <= since_index <= view.index and since_index > 0


def has_changes(view: View, since_index: int) -> bool:
    """Tells whether any item may have changed after index `since_index`.

    Before `oldest_delta_index`, single changes are unknown, for instance after a
    snapshot was installed.
    """
    if since_index < view.oldest_delta_index:
        return True
    return bool(view.changes) and view.changes[-1][0] > since_index


def delta_since(view: View, since_index: int) -> ViewDelta:
    """Returns the delta from index `since_index` to the current index."""
    cached = view.last_delta
    if cached is not None and (cached.previous_index, cached.index) == (
        since_index,
        view.index,
    ):
        return cached
    names = _changed_names(view, since_index)
    upserts = {name: view.items[name] for name in sorted(names) if name in view.items}
    deletes = tuple(sorted(names - upserts.keys()))
    view.last_delta = ViewDelta(since_index, view.index, upserts, deletes)
    return view.last_delta


def _changed_names(view: View, since_index: int) -> set[str]:
    names: set[str] = set()
    for index, changed in reversed(view.changes):
        if index <= since_index:
            break
        names.update(changed)
    return names


def snapshot_parts(view: View) -> list[ViewSnapshot]:
    """Returns the whole view in parts of a bounded size, ordered by name.

    An item that is larger than the limit gets a part of its own. All links get the same
    objects while the view stays the same. With a snapshot of its own for each, 1,000
    links to entries that read nothing made a control member grow to 409 MB.
    """
    last_index = view.last_snapshot[0].index if view.last_snapshot else 0
    if view.last_snapshot and last_index == view.index:
        return view.last_snapshot
    if view.last_snapshot and can_make_delta(view, last_index):
        groups = _updated_groups(
            view,
            [part.items for part in view.last_snapshot],
            _changed_names(view, last_index),
        )
    else:
        groups = _groups(view.items, sorted(view.items)) or [{}]
    last_number = len(groups) - 1
    view.last_snapshot = [
        ViewSnapshot(view.index, items, first=number == 0, last=number == last_number)
        for number, items in enumerate(groups)
    ]
    return view.last_snapshot


def _updated_groups(
    view: View, groups: list[dict[str, bytes]], names: set[str]
) -> list[dict[str, bytes]]:
    """Returns groups in which the items with these names are current."""
    first_names = [next(iter(items), "") for items in groups]
    changed: dict[int, set[str]] = collections.defaultdict(set)
    for name in names:
        changed[max(0, bisect.bisect_right(first_names, name) - 1)].add(name)
    updated: list[dict[str, bytes]] = []
    for number, items in enumerate(groups):
        if number not in changed:
            updated.append(items)
            continue
        present = (changed[number] | items.keys()) & view.items.keys()
        updated += _groups(view.items, sorted(present))
    return updated or [{}]


def _groups(items: dict[str, bytes], names: Iterable[str]) -> list[dict[str, bytes]]:
    groups: list[dict[str, bytes]] = []
    size_bytes = 0
    for name in names:
        item_bytes = len(name.encode()) + len(items[name]) + 16
        if not groups or size_bytes + item_bytes > SNAPSHOT_PART_BYTES:
            groups.append({})
            size_bytes = 0
        groups[-1][name] = items[name]
        size_bytes += item_bytes
    return groups
