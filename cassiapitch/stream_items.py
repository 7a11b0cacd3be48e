"""Byte strings and flags of a stream as they are written to its connection."""

from collections.abc import Iterator

import msgspec

from cassiapitch.exceptions import CodecError

# What is written at once of a byte string that is written in pieces.
PIECE_BYTES = 32 * 1024
# MessagePack's `bin 32`; any smaller byte string is written in one piece.
LONG_STRING_PREFIX = b"\xc6"


# Bytes before a byte string, by the first of them: MessagePack's `bin 8, 16 and 32`.
_PREFIX_BYTES = {0xC4: 2, 0xC5: 3, 0xC6: 5}


class ReceivedItems:
    """Splits what is received into byte strings.

    msgpack's decoder takes 57 KiB for a stream, most of them for nested values.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Creates an empty buffer.

        Args:
            limit_bytes: Size of the largest byte string.
        """
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()

    def __len__(self) -> int:
        """Returns the number of bytes that were received and not taken yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._buffer += data

    def clear(self) -> None:
        """Drops what was received."""
        self._buffer = bytearray()

    def take(self) -> bytes | None:
        """Returns the next byte string, or None until it is complete.

        Raises:
            CodecError: The peer sent something else, or one that is too large.
        """
        buffer = self._buffer
        if not buffer:
            return None
        prefix_bytes = _PREFIX_BYTES.get(buffer[0])
        if prefix_bytes is None:
            raise CodecError("malformed stream: not a byte string")
        if len(buffer) < prefix_bytes:
            return None
        end = prefix_bytes + int.from_bytes(buffer[1:prefix_bytes], "big")
        if end > self._limit_bytes:
            raise CodecError("a message is too large")
        if len(buffer) < end:
            return None
        with memoryview(buffer) as view:
            item = bytes(view[prefix_bytes:end])
        # Frees memory, too: of a buffer of which less than half is used.
        del buffer[:end]
        return item


def encode_item(item: bytes | bool) -> bytes:
    """Returns an item of a stream as it is written to the connection."""
    return msgspec.msgpack.encode(item)


def stream_path(service: str, method: str) -> bytes:
    """Returns the byte string with which a stream to a method begins."""
    return f"{service}/{method}".encode()


def pieces(data: bytes) -> Iterator[bytes | memoryview]:
    """Yields a long byte string as it is written, without a copy of the whole."""
    yield LONG_STRING_PREFIX + len(data).to_bytes(4, "big")
    view = memoryview(data)
    for start in range(0, len(data), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]
