"""HTTP headers that keep their order and the case of their names."""

from __future__ import annotations

from typing import Final

from cedarchute.record import Record

# Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
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
# Not forwarded: the sender of a message sets its length.
CONTENT_LENGTH: Final = b"content-length"


class Headers(Record):
    """The header fields of one message, as pairs of name and value."""

    fields: tuple[tuple[bytes, bytes], ...] = ()

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of `name` (in lower case), or None."""
        for field_name, value in self.fields:
            if field_name.lower() == name:
                return value
        return None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of `name` (in lower case)."""
        return [
            value for field_name, value in self.fields if field_name.lower() == name
        ]

    def get_text(self, name: bytes) -> str:
        """Return the first value of `name` decoded, or an empty string."""
        value = self.get(name)
        return "" if value is None else value.decode("latin-1")

    def list_tokens(self, name: bytes) -> set[bytes]:
        """Return the comma-separated tokens of `name`, in lower case."""
        tokens = b",".join(self.get_all(name)).split(b",")
        return {token.strip().lower() for token in tokens if token.strip()}

    def select_end_to_end(self, dropped: frozenset[bytes] = frozenset()) -> Headers:
        """Return the fields to forward: all but hop-by-hop and `dropped` ones."""
        excluded = (
            HOP_BY_HOP | self.list_tokens(b"connection") | dropped | {CONTENT_LENGTH}
        )
        kept = (pair for pair in self.fields if pair[0].lower() not in excluded)
        return Headers(tuple(kept))

    def extend(self, *pairs: tuple[bytes, bytes]) -> Headers:
        """Return new headers with `pairs` appended."""
        return Headers(self.fields + pairs)

    def encode(self) -> bytes:
        """Return the fields in wire format, without the final blank line."""
        return b"".join(b"%s: %s\r\n" % pair for pair in self.fields)
