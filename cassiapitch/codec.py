"""MessagePack codec for frozen data classes, for streams and for the log.

A message travels as a pair of its class name and its fields, so that one stream
carries several kinds of message. Decoding is strict: an unknown name, a missing
field or a wrong type is refused.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec

from cassiapitch.exceptions import CodecError

_encoder = msgspec.msgpack.Encoder()
_envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_types: dict[str, type] = {}
# Made with the first message of their type: a process gets only some of them, and each
# costs a millisecond of its start.
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


def register(types: Iterable[type]) -> None:
    """Makes data classes and structs known by name to `encode` and `decode`."""
    for cls in types:
        if not (dataclasses.is_dataclass(cls) or issubclass(cls, msgspec.Struct)):
            raise CodecError(f"{cls!r} is not a data class")
        _types[cls.__name__] = cls
        _decoders.pop(cls.__name__, None)


def _decoder(name: str) -> msgspec.msgpack.Decoder[Any]:
    decoder = _decoders.get(name)
    if decoder is None:
        decoder = msgspec.msgpack.Decoder(_types[name], strict=True)
        _decoders[name] = decoder
    return decoder


def encode(message: Any) -> bytes:
    """Encodes a registered data class."""
    return _encoder.encode((type(message).__name__, message))


def decode(data: bytes) -> Any:
    """Decodes what `encode` gave.

    Raises:
        CodecError: The data isn't a registered message.
    """
    try:
        name, fields = _envelope.decode(data)
        return _decoder(name).decode(fields)
    except KeyError as error:
        raise CodecError(f"unknown message {error}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise CodecError(f"malformed message: {error}") from None


class MessageCodec:
    """Encodes messages for streams.

    Of the shared types, the last message is kept with its bytes: a hub sends the same
    object over each of its links, so that it is encoded once and not once a link.
    Shared messages must not be changed after they are first sent.
    """

    def __init__(self, shared_types: Iterable[type] = ()) -> None:
        """Makes a codec; `shared_types` are those sent over many streams."""
        self._last: dict[type, tuple[Any, bytes]] = {
            cls: (None, b"") for cls in shared_types
        }

    def encode(self, message: Any) -> bytes:
        """Encodes one message."""
        kept = self._last.get(type(message))
        if kept is None:
            return encode(message)
        if kept[0] is message:
            return kept[1]
        data = encode(message)
        self._last[type(message)] = (message, data)
        return data

    def decode(self, data: bytes) -> Any:
        """Decodes one message."""
        return decode(data)
