"""Runs a box of the users' platform: an entry box or a holder."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Final, Protocol

from cedarchute.daemon.signals import handle_signals
from cedarchute.fleet.box_entry import Role
from cedarchute.metrics import Metrics
from cedarchute.settings.node_settings import load_node_settings

if TYPE_CHECKING:
    from cedarchute.settings.node_settings import NodeSettings

log = logging.getLogger("cedarchute.daemon")

OK: Final = 0


class Box(Protocol):
    """A process of one role."""

    def run(self) -> None:
        """Serve until a planned stop is done."""
        ...

    def ask_stop(self, asked_at: float) -> None:
        """Begin a planned stop, once; its grace began at `asked_at`."""
        ...


def run_node(file: str) -> int:
    """Serve until a planned stop; return the exit code.

    Raises
    ------
    IniError, PortInUseError
        When the settings cannot be used.
    """
    settings = load_node_settings(file)
    metrics = Metrics()
    box = build_box(settings, file, metrics)

    handle_signals(box.ask_stop)
    log.info(
        "Started.", extra={"box": settings.box.name, "role": settings.box.role.value}
    )
    box.run()
    sys.stdout.flush()
    return OK


def build_box(settings: NodeSettings, file: str, metrics: Metrics) -> Box:
    """Return the box that the role asks for.

    Each role imports only its own parts: memory is dear on small boxes.
    """
    if settings.box.role is Role.HOLDER:
        from cedarchute.daemon.holder_box import HolderBox

        return HolderBox(settings, file, metrics)
    from cedarchute.daemon.entry_box import EntryBox

    return EntryBox(settings, file, metrics)
