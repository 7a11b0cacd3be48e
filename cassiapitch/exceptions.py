"""Exceptions that cross module boundaries.

Expected outcomes are returned as data classes instead.
"""


class CassiapitchError(Exception):
    """Base class of the package's own exceptions."""


class SettingsError(CassiapitchError):
    """Settings or a bundle that can't be used; `faults` lists every reason."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class UnusableAddressError(SettingsError):
    """An address of the settings where no process of this instance can listen."""


class ListenTimeoutError(CassiapitchError):
    """An address of the settings stayed taken for longer than they allow."""


class StorageError(CassiapitchError):
    """The data folder is damaged, or a write to it failed."""


class StorageRefusedError(StorageError):
    """The disk currently refuses writes, for instance because it is full."""


class UnusableFolderError(StorageError):
    """The data folder is damaged or another member's; starting again doesn't help."""


class ChartError(CassiapitchError):
    """A state chart file is inconsistent, or an event has no transition in it."""


class NotWrittenError(CassiapitchError):
    """A request must not be written to its backend server; nothing was sent."""


class CodecError(CassiapitchError):
    """A message between processes couldn't be decoded."""
