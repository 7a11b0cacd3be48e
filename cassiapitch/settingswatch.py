"""Reads a settings file at the start, and again when it changes."""

import asyncio
import dataclasses
import pathlib
import threading
from collections.abc import Callable
from typing import Any

import anyio

from cassiapitch import config, daemon_threads, events
from cassiapitch.exceptions import SettingsError

# The file may change without a signal; polling one small file is cheap.
POLL_PERIOD_S = 1.0
# A file that is being written at the start is empty or changes between two reads.
START_READ_PERIOD_S = 0.2
START_READ_LIMIT_S = 2.0
# A read that takes longer is logged; its disk doesn't answer.
SLOW_READ_S = 5.0

Subscriber = Callable[[Any], None]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Settings, and the text of the file that they were decoded from."""

    settings: Any
    text: str


def load_at_start(
    path: pathlib.Path,
    settings_class: type,
    is_stop_requested: Callable[[], bool],
    pause: Callable[[float], Any] | None = None,
) -> LoadedSettings | None:
    """Reads the settings file; waits while it is being written.

    A file with faults is read again as long as it is missing, empty or different from
    the last read, for at most `START_READ_LIMIT_S`.

    Args:
        path: The file.
        settings_class: Data class that the file is decoded into.
        is_stop_requested: Tells whether to give up.
        pause: Waits for a number of seconds.

    Returns:
        The settings, or None if a stop was requested meanwhile.

    Raises:
        SettingsError: The file can't be read or has faults.
    """
    wait = pause or threading.Event().wait
    last_text: str | None = None
    for number in range(round(START_READ_LIMIT_S / START_READ_PERIOD_S)):
        text = ""
        try:
            text = config.read_text(path, waits=number == 0)
            return LoadedSettings(config.parse(text, settings_class), text)
        except SettingsError as error:
            failure = error
        is_being_written = not text.strip() or text != last_text
        if not is_being_written:
            break
        if is_stop_requested():
            return None
        last_text = text
        wait(START_READ_PERIOD_S)
    raise failure


class SettingsWatch:
    """The settings in force, and the functions that are called after a change."""

    def __init__(
        self, path: pathlib.Path, settings_class: type, loaded: LoadedSettings
    ) -> None:
        self._path = path
        self._settings_class = settings_class
        self._settings = loaded.settings
        # Not read anew: a change since then would never come into force.
        self._text = loaded.text
        self._subscribers: list[Subscriber] = []
        self._is_requested = asyncio.Event()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers a function that is called with each new settings object.

        It raises a `SettingsError` and changes nothing if the settings have a fault
        that their data class doesn't state.
        """
        self._subscribers.append(subscriber)

    def request_reload(self) -> None:
        """Lets `run` read the file now, or once more after the current read."""
        self._is_requested.set()

    async def reload_if_changed(self) -> bool:
        """Reloads the file if it has changed; true if new settings came into force.

        Settings with faults are logged and ignored. The file is read in a thread, so
        that only this waits while its disk hangs.

        Raises:
            OSError: No thread can be started now, or a subscriber raised it.
            MemoryError: There is no memory for the settings. After either, the next
                call applies the change.
        """
        applied_text = self._text
        try:
            text = await self._read()
            if text == self._text:
                return False
            self._text = text
            settings = config.parse(text, self._settings_class)
            if settings == self._settings:
                return False
            for subscriber in self._subscribers:
                subscriber(settings)
        except SettingsError as error:
            events.log(events.Event.SETTINGS_REFUSED, faults=error.faults)
            return False
        except Exception:
            self._text = applied_text
            raise
        self._settings = settings
        events.log(events.Event.SETTINGS_CHANGED)
        return True

    async def _read(self) -> str:
        timer = asyncio.get_running_loop().call_later(SLOW_READ_S, self._log_slow_read)
        try:
            return await daemon_threads.call("read", config.read_text, self._path)
        finally:
            timer.cancel()

    def _log_slow_read(self) -> None:
        fault = f"{self._path}: not read after {SLOW_READ_S:g} s, its disk hangs"
        events.log(events.Event.SETTINGS_REFUSED, faults=[fault])

    async def run(self) -> None:
        """Reloads the file after requests and changes, until cancelled."""
        while True:
            with anyio.move_on_after(POLL_PERIOD_S):
                await self._is_requested.wait()
            self._is_requested = asyncio.Event()
            await self.reload_if_changed()
