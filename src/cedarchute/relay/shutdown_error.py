"""The error that interrupts a request when the process is about to end."""

from __future__ import annotations


class ShutdownError(Exception):
    """Raised where a request waits; its handler still sends a final response."""

    code = "shutdown"
