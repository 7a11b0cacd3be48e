"""MessagePack codec for frozen data classes, for `grpclib` and for the log.

A message travels as a pair of its class name and its fields, so that one stream
carries several kinds of message. Decoding is strict: an unknown name, a missing
field or a wrong type is refused.
"""

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from cassiapitch.exceptions import CodecError

_encoder = msgspec.msgpack.Encoder()
_envelope = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}


def register(types: Iterable[type]) -> None:
    """Makes data classes known by name to `encode` and `decode`."""
    for cls in types:
        if not dataclasses.is_dataclass(cls):
            raise CodecError(f"{cls!r} is not a data class")
        _decoders[cls.__name__] = msgspec.msgpack.Decoder(cls, strict=True)


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
        return _decoders[name].decode(fields)
    except KeyError as error:
        raise CodecError(f"unknown message {error}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise CodecError(f"malformed message: {error}") from None


class MessageCodec(CodecBase):
    """Lets `grpclib` carry registered data classes."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encodes one message; `message_type` is not needed."""
        return encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decodes one message; `message_type` is not needed."""
        return decode(data)
