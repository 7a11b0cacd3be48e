"""Decodes JSON with comments into frozen data classes and lists every fault."""

import dataclasses
import enum
import pathlib
import types
import typing
from typing import Any

import jsonc
import msgspec

from cassiapitch import start_files
from cassiapitch.exceptions import SettingsError

_TYPE_NAMES = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "a boolean",
}


def load(path: pathlib.Path, cls: type) -> Any:
    """Reads a settings file.

    Raises:
        SettingsError: The file can't be read or has faults.
    """
    return parse(read_text(path), cls)


class UnreadableSettingsError(SettingsError):
    """The file can't be read at all."""


def read_text(path: pathlib.Path, *, waits: bool = False) -> str:
    """Returns the text of a settings file.

    Args:
        path: The file.
        waits: Whether to wait while it can't be read now, as `start_files` says.

    Raises:
        UnreadableSettingsError: The file can't be read, or isn't UTF-8.
    """
    try:
        if waits:
            return start_files.read_text(path)
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UnreadableSettingsError([f"{path}: {error}"]) from None


def parse(text: str, cls: type) -> Any:
    """Decodes settings text into `cls`.

    Raises:
        SettingsError: Lists each fault with its path and what was expected.
    """
    try:
        document = jsonc.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError([f"$: not JSON with comments: {error}"]) from None
    faults: list[str] = []
    _check(document, cls, "$", faults)
    if faults:
        raise SettingsError(faults)
    try:
        return msgspec.convert(document, cls, strict=True)
    except msgspec.ValidationError as error:
        raise SettingsError([str(error)]) from None


def _check(value: Any, expected_type: Any, path: str, faults: list[str]) -> None:
    origin = typing.get_origin(expected_type)
    type_arguments = typing.get_args(expected_type)
    if origin is typing.Annotated:
        _check_annotated(value, expected_type, path, faults)
    elif origin in (typing.Union, types.UnionType):
        if value is not None or type(None) not in type_arguments:
            _check(value, _non_none_type(type_arguments), path, faults)
    elif origin in (tuple, list):
        _check_items(value, type_arguments[0], path, faults)
    elif origin is dict:
        _check_mapping(value, type_arguments[1], path, faults)
    elif dataclasses.is_dataclass(expected_type):
        _check_fields(value, expected_type, path, faults)
    elif isinstance(expected_type, type) and issubclass(expected_type, enum.Enum):
        allowed = [member.value for member in expected_type]
        if value not in allowed:
            faults.append(f"{path}: expected one of {', '.join(allowed)}")
    else:
        _check_scalar(
            value, getattr(expected_type, "__supertype__", expected_type), path, faults
        )


def _non_none_type(type_arguments: tuple[Any, ...]) -> Any:
    return next(item for item in type_arguments if item is not type(None))


def _check_annotated(
    value: Any, expected_type: Any, path: str, faults: list[str]
) -> None:
    faults_before_count = len(faults)
    _check(value, typing.get_args(expected_type)[0], path, faults)
    if len(faults) > faults_before_count:
        return
    try:
        msgspec.convert(value, expected_type, strict=True)
    except msgspec.ValidationError as error:
        faults.append(f"{path}: {str(error).split(' - at ')[0]}")


def _check_items(value: Any, item_type: Any, path: str, faults: list[str]) -> None:
    if not isinstance(value, list):
        faults.append(f"{path}: expected a list")
        return
    for index, element in enumerate(value):
        _check(element, item_type, f"{path}[{index}]", faults)


def _check_mapping(value: Any, item_type: Any, path: str, faults: list[str]) -> None:
    if not isinstance(value, dict):
        faults.append(f"{path}: expected an object")
        return
    for name, element in value.items():
        _check(element, item_type, f"{path}.{name}", faults)


def _check_fields(value: Any, cls: Any, path: str, faults: list[str]) -> None:
    if not isinstance(value, dict):
        faults.append(f"{path}: expected an object")
        return
    hints = typing.get_type_hints(cls, include_extras=True)
    for name in value.keys() - hints.keys():
        faults.append(f"{path}.{name}: unknown field")
    for field in dataclasses.fields(cls):
        if field.name in value:
            child_path = f"{path}.{field.name}"
            _check(value[field.name], hints[field.name], child_path, faults)
        elif (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        ):
            faults.append(f"{path}.{field.name}: missing")


def _check_scalar(value: Any, expected_type: Any, path: str, faults: list[str]) -> None:
    accepted = (int, float) if expected_type is float else expected_type
    is_unexpected_bool = isinstance(value, bool) and expected_type is not bool
    if is_unexpected_bool or not isinstance(value, accepted):
        faults.append(
            f"{path}: expected {_TYPE_NAMES.get(expected_type, str(expected_type))}"
        )
