"""Tells what a socket has received that is not read yet."""

from __future__ import annotations

import socket


def has_unread_input(sock: socket.socket) -> bool:
    """Return whether bytes wait in the kernel; a close or an error is none."""
    try:
        return bool(sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def has_ended_input(sock: socket.socket) -> bool:
    """Return whether a close or an error comes next."""
    try:
        return not sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
