"""A record as its home keeps it."""

from __future__ import annotations

from cedarchute.copies.held_record import HeldRecord
from cedarchute.copies.packed_text import pack_text, unpack_text


class LogRecord:
    """One record of a program's log; packed while its program is idle.

    Parameters
    ----------
    epoch : int
        Of the owner that wrote it.
    text : str
        The record, not interpreted.
    """

    __slots__ = ("_packed", "_text", "epoch")

    def __init__(self, epoch: int, text: str) -> None:
        self.epoch = epoch
        self._text: str | None = text
        self._packed: bytes | tuple[bytes] = b""

    @property
    def text(self) -> str:
        """The record's text, unpacked for this one look if need be."""
        if self._text is not None:
            return self._text
        return unpack_text(self._packed)

    @property
    def is_packed(self) -> bool:
        """Whether the text is kept packed."""
        return self._text is None

    def pack(self) -> int:
        """Keep the text packed from now on; return its length in characters."""
        if self._text is None:
            return 0
        length = len(self._text)
        self._packed = pack_text(self._text)
        self._text = None
        return length

    def to_held(self) -> HeldRecord:
        """Return the record as it goes to holders."""
        return HeldRecord(epoch=self.epoch, text=self.text)
