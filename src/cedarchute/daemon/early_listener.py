"""Listens for callers before the rest of a box is imported.

Most of a start is imports. After all boxes were killed at once, callers come back
within tenths of a second and give up after a few refused connections; one that is
taken waits in the kernel's queue until the box serves, some 0.2 s later.
"""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING, Final

from cedarchute.ini import IniError, read_sections

if TYPE_CHECKING:
    from cedarchute.address import Address

log = logging.getLogger("cedarchute.daemon")

BACKLOG: Final = 1024


class EarlyListener:
    """At most one socket, opened by the settings and taken over by its owner."""

    def __init__(self) -> None:
        self.sock: socket.socket | None = None

    def open(self, file: str) -> None:
        """Listen where an entry box serves callers, if `file` names that.

        What is wrong with the settings or the address is reported when they are
        read, and listened on, in their turn.
        """
        try:
            host, port = find_callers(file)
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except (IniError, ValueError, OSError) as error:
            log.debug("No early listener: %s", error)
            return
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            sock.listen(BACKLOG)
        except OSError as error:
            log.debug("No early listener: %s", error)
            sock.close()
            return
        self.sock = sock

    def take(self, address: Address) -> socket.socket | None:
        """Hand the socket over to who wants to listen on its address, once."""
        if self.sock is None or self.sock.getsockname() != (address.host, address.port):
            return None
        sock, self.sock = self.sock, None
        return sock


def find_callers(file: str) -> tuple[str, int]:
    """Return host and port at which an entry box serves callers.

    Raises
    ------
    IniError, ValueError
        When the settings cannot be read, or name no such address.
    """
    address = read_sections(file).get("listen", {}).get("callers", "")
    host, _, port = address.rpartition(":")
    return host, int(port)


EARLY: Final = EarlyListener()
