"""A record as the owner of its program keeps it."""

from __future__ import annotations

from cedarchute.copies.held_record import HeldRecord
from cedarchute.copies.packed_text import compress_text, decompress_text


class LogRecord:
    """One record of a program's log; compressed while its program is idle.

    Parameters
    ----------
    epoch : int
        Epoch of the owner that wrote the record.
    text : str
        Opaque content of the record.
    """

    __slots__ = ("_compressed", "_text", "epoch")

    def __init__(self, epoch: int, text: str) -> None:
        self.epoch = epoch
        self._text: str | None = text
        self._compressed: bytes | tuple[bytes] = b""

    @property
    def text(self) -> str:
        """The text of the record; decompressed on each access when necessary."""
        if self._text is not None:
            return self._text
        return decompress_text(self._compressed)

    @property
    def is_compressed(self) -> bool:
        """Whether only the compressed text is in memory."""
        return self._text is None

    def compress(self) -> int:
        """Compress the text in place; return its length in characters, 0 if done."""
        if self._text is None:
            return 0
        length = len(self._text)
        self._compressed = compress_text(self._text)
        self._text = None
        return length

    def to_held_record(self) -> HeldRecord:
        """Return the record in the form that is sent to holders."""
        return HeldRecord(epoch=self.epoch, text=self.text)
