"""Exceptions that cross module boundaries; expected outcomes are data classes."""


class CassiapitchError(Exception):
    """Base of the package's own exceptions."""


class SettingsError(CassiapitchError):
    """Settings or a bundle that can't be used; `faults` lists every reason."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class StorageError(CassiapitchError):
    """The data folder is damaged, or a write to it didn't succeed."""


class StorageRefusedError(StorageError):
    """The disk refuses writes for now, for instance since it is full."""


class ChartError(CassiapitchError):
    """A state chart file is inconsistent, or got an event that it doesn't allow."""


class CodecError(CassiapitchError):
    """A message between processes couldn't be decoded."""
