"""Headers in the order and spelling in which they came."""

from __future__ import annotations

from typing import Final

from cedarchute.record import Record

# RFC 9110, section 7.6.1: these concern one connection and are not passed on.
HOP_BY_HOP: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Lengths are written anew by whoever sends the message on.
LENGTH: Final = b"content-length"


class Headers(Record):
    """The fields of one message, as pairs of name and value."""

    fields: tuple[tuple[bytes, bytes], ...] = ()

    def get(self, name: bytes) -> bytes | None:
        """Return the first value under `name` (lower case), or None."""
        for known, value in self.fields:
            if known.lower() == name:
                return value
        return None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return every value under `name` (lower case)."""
        return [value for known, value in self.fields if known.lower() == name]

    def get_text(self, name: bytes) -> str:
        """Return the first value under `name` as text, empty when absent."""
        value = self.get(name)
        return "" if value is None else value.decode("latin-1")

    def list_tokens(self, name: bytes) -> set[bytes]:
        """Return the comma-separated words under `name`, in lower case."""
        words = b",".join(self.get_all(name)).split(b",")
        return {word.strip().lower() for word in words if word.strip()}

    def select_end_to_end(self, dropped: frozenset[bytes] = frozenset()) -> Headers:
        """Return the fields that are passed on: not those of one connection."""
        skipped = HOP_BY_HOP | self.list_tokens(b"connection") | dropped | {LENGTH}
        kept = (pair for pair in self.fields if pair[0].lower() not in skipped)
        return Headers(tuple(kept))

    def extend(self, *pairs: tuple[bytes, bytes]) -> Headers:
        """Return these fields with `pairs` behind them."""
        return Headers(self.fields + pairs)

    def encode(self) -> bytes:
        """Return the fields as they stand in a message, without the blank line."""
        return b"".join(b"%s: %s\r\n" % pair for pair in self.fields)
