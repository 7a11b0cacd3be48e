"""Bytes of large answers in mappings, whose memory is freed when they are dropped.

The C library maps blocks of 128 KiB and more at first, but raises this threshold to the
size of each mapped block that is freed. From then on blocks of that size come from its
heap, where the gaps between them aren't returned to the system. With answers of 2 MiB,
the heap grew to 36 MiB for 19 MiB in use.
"""

import mmap
from typing import Protocol

# Smaller answers stay on the heap. A mapping takes whole pages and two system calls.
HEAP_LIMIT_BYTES = 32 * 1024
# Pages of a mapping that nothing is written to take no memory.
BLOCK_BYTES = 256 * 1024


class Sliceable(Protocol):
    """Bytes that are read in parts, such as `bytes` or `MappedBytes`."""

    def __len__(self) -> int:
        """Returns the number of bytes."""

    def __getitem__(self, part: slice, /) -> bytes:
        """Returns a copy of a part."""


class MappedBytes:
    """Bytes that are appended to and read in parts, without a copy of the whole."""

    def __init__(self) -> None:
        self._heap = bytearray()
        self._blocks: list[mmap.mmap] = []
        self._size_bytes = 0

    def __len__(self) -> int:
        return self._size_bytes

    def __getitem__(self, part: slice, /) -> bytes:
        """Returns a copy of a part; steps other than 1 aren't supported."""
        start, end, step = part.indices(self._size_bytes)
        if step != 1:
            raise ValueError(f"step {step}")
        if not self._blocks:
            return bytes(self._heap[start:end])
        pieces = []
        while start < end:
            number, offset = divmod(start, BLOCK_BYTES)
            piece = self._blocks[number][offset : offset + end - start]
            pieces.append(piece)
            start += len(piece)
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def append(self, data: bytes) -> None:
        """Adds bytes at the end.

        Raises:
            OSError: The system has no memory left.
        """
        if not self._blocks and len(self._heap) + len(data) <= HEAP_LIMIT_BYTES:
            self._heap += data
            self._size_bytes += len(data)
            return
        if self._heap:
            heap, self._heap, self._size_bytes = self._heap, bytearray(), 0
            self._append_to_blocks(heap)
        self._append_to_blocks(data)

    def _append_to_blocks(self, data: bytes | bytearray) -> None:
        view = memoryview(data)
        while view:
            number, offset = divmod(self._size_bytes, BLOCK_BYTES)
            if number == len(self._blocks):
                flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
                self._blocks.append(mmap.mmap(-1, BLOCK_BYTES, flags=flags))
            piece = view[: BLOCK_BYTES - offset]
            self._blocks[number][offset : offset + len(piece)] = piece
            self._size_bytes += len(piece)
            view = view[len(piece) :]
