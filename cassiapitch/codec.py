"""MessagePack codec for frozen data classes, for streams and for the log.

A message is encoded as a pair of its class name and its fields, so that one stream
can carry several kinds of messages. Decoding is strict: an unknown class name, a
missing field or a wrong type raises CodecError.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec

from cassiapitch import compression
from cassiapitch.exceptions import CodecError

_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_types: dict[str, type] = {}
# Created with the first message of a type: a process receives only some of the types,
# and creating a decoder takes a millisecond, which would delay its start.
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


def register(types: Iterable[type]) -> None:
    """Registers data classes and structs by name for `encode` and `decode`."""
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
    """Decodes a message that `encode` encoded.

    Raises:
        CodecError: The data isn't a message of a registered class.
    """
    try:
        name, fields = _envelope_decoder.decode(data)
        return _decoder(name).decode(fields)
    except KeyError as error:
        raise CodecError(f"unknown message {error}") from None
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise CodecError(f"malformed message: {error}") from None


class MessageCodec:
    """Encodes messages for streams.

    For each shared type it caches the last message with its bytes: a hub sends the same
    object over all its links, and so encodes it once instead of once per link.
    Messages of shared types must not be changed after they are first sent.
    """

    def __init__(self, shared_types: Iterable[type] = ()) -> None:
        """Creates a codec; messages of `shared_types` are sent over many streams."""
        self._last_encoded: dict[type, tuple[Any, bytes]] = {
            cls: (None, b"") for cls in shared_types
        }
        self._last_compressed = (b"", b"")

    def encode(self, message: Any) -> bytes:
        """Encodes one message."""
        cached = self._last_encoded.get(type(message))
        if cached is None:
            return encode(message)
        if cached[0] is message:
            return cached[1]
        data = encode(message)
        self._last_encoded[type(message)] = (message, data)
        return data

    def compress(self, data: bytes) -> bytes:
        """Compresses an encoded message by itself; once for a shared one."""
        if self._last_compressed[0] is not data:
            self._last_compressed = (data, compression.compress_alone(data))
        return self._last_compressed[1]

    def decode(self, data: bytes) -> Any:
        """Decodes one message."""
        return decode(data)
