"""A buffer for a body that arrives in pieces of any size.

It consists of blocks of one size. One large buffer that grows would be moved again and again, and with hundreds of such
buffers the allocator could not use the gaps that they leave.
"""

from __future__ import annotations

BLOCK_SIZE = 4 * 1024  # bytes


class BodyBuffer:
    """Collects the pieces of a body."""

    __slots__ = ("_blocks", "_length")

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self._length = 0

    def __len__(self) -> int:
        """Return the number of bytes that have been appended."""
        return self._length

    @property
    def held_size(self) -> int:
        """The number of bytes of memory that the blocks take."""
        return BLOCK_SIZE * len(self._blocks)

    def append(self, data: bytes) -> None:
        """Append a piece."""
        start = 0
        while start < len(data):
            offset = self._length % BLOCK_SIZE
            if offset == 0:
                self._blocks.append(bytearray(BLOCK_SIZE))
            piece = data[start : start + BLOCK_SIZE - offset]
            self._blocks[-1][offset : offset + len(piece)] = piece
            self._length += len(piece)
            start += len(piece)

    def take(self) -> bytes:
        """Return all bytes, and start anew without any."""
        blocks, length = self._blocks, self._length
        self._blocks, self._length = [], 0
        if blocks:
            del blocks[-1][length - BLOCK_SIZE * (len(blocks) - 1) :]
        return b"".join(blocks)
