"""Reloads a settings file that changes while the process runs."""

import pathlib
from collections.abc import Callable
from typing import Any

import anyio

from cassiapitch import config, events
from cassiapitch.exceptions import SettingsError

# The file may change without a signal; polling one small file is cheap.
POLL_PERIOD_S = 1.0

Subscriber = Callable[[Any], None]


class SettingsWatch:
    """The settings in force, and the functions that are called after a change."""

    def __init__(self, path: pathlib.Path, settings_class: type, settings: Any) -> None:
        self._path = path
        self._settings_class = settings_class
        self._settings = settings
        self._text = _read_text(path)
        self._subscribers: list[Subscriber] = []

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers a function that is called with each new settings object."""
        self._subscribers.append(subscriber)

    def reload_if_changed(self) -> bool:
        """Reloads the file if it has changed; true if new settings came into force.

        Settings with faults are logged and ignored.
        """
        text = _read_text(self._path)
        if text is None or text == self._text:
            return False
        self._text = text
        try:
            settings = config.parse(text, self._settings_class)
        except SettingsError as error:
            events.log(events.Event.SETTINGS_REFUSED, faults=error.faults)
            return False
        if settings == self._settings:
            return False
        self._settings = settings
        events.log(events.Event.SETTINGS_CHANGED)
        for subscriber in self._subscribers:
            subscriber(settings)
        return True

    async def run(self) -> None:
        """Reloads the file after changes without a signal, until cancelled."""
        while True:
            await anyio.sleep(POLL_PERIOD_S)
            self.reload_if_changed()


def _read_text(path: pathlib.Path) -> str | None:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        events.log(events.Event.SETTINGS_REFUSED, faults=[str(error)])
        return None
