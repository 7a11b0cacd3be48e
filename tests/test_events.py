"""Tests of the catalogue of log events."""

import pathlib
import re

from cassiapitch.events import Event

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "events.md"


def test_catalogue_lists_every_event_once():
    """Guards against an event that docs/events.md doesn't explain."""
    rows = re.findall(r"^\| (\d+) \| `?(\w+)`? \|", PAGE.read_text(), re.MULTILINE)
    listed = [(int(number), name) for number, name in rows]
    assert len(set(listed)) == len(listed)
    assert set(listed) == {(event.value, event.name.lower()) for event in Event}
