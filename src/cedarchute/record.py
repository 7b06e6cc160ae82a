"""Data inside the product: fields, equality and a representation, and no more."""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, frozen=True):
    """Data that never changes once made.

    Like a frozen data class, but Python compiles no methods for it at each start of a
    process, which callers wait for after a loss of power.
    """


class MutableRecord(msgspec.Struct):
    """Data that its one owner changes; otherwise as `Record`."""
