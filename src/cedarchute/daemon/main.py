"""Entry point of ``cedarchuted``."""

from __future__ import annotations

from cedarchute.daemon.early_signals import EARLY_SIGNALS

# Before the slow imports and the early listener.
EARLY_SIGNALS.install()

import os
import warnings

# Addresses are IP numbers: without its resolver, eventlet takes 6 MB less.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# The users chose eventlet; its notice about its future is not news to them.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from cedarchute.daemon.early_listener import EARLY

# Names the settings file when no flag does.
SETTINGS_VARIABLE = "CEDARCHUTE_SETTINGS"

if SETTINGS_VARIABLE in os.environ:
    EARLY.open(os.environ[SETTINGS_VARIABLE])

from cedarchute.daemon.lean_start import (
    empty_other_loop,
    keep_out_unused_modules,
    let_modules_in,
)

keep_out_unused_modules()
with empty_other_loop():
    import eventlet

# Locks stay real: all green threads share one thread, and none switches while it
# holds one. Patching them too would search the whole heap for locks to replace, a
# quarter of the time that a start takes.
# No process starts another, and none speaks to a database: those patches would import
# more than they change.
eventlet.monkey_patch(thread=False, subprocess=False, psycopg=False)

import logging
import sys
from typing import Final

from absl import flags

from cedarchute.daemon.listeners import PortInUseError, open_listeners
from cedarchute.daemon.logs import set_up_bounded_logs, set_up_logs
from cedarchute.daemon.node_main import run_node
from cedarchute.daemon.signals import handle_signals
from cedarchute.ini import IniError, read_sections

log = logging.getLogger("cedarchute.daemon")

EXIT_OK: Final = 0
EXIT_BAD_FLAGS: Final = 1
EXIT_BAD_SETTINGS: Final = 2

SETTINGS = flags.DEFINE_string(
    "settings", os.environ.get(SETTINGS_VARIABLE), "The settings file of this box."
)
LOG_FORMAT = flags.DEFINE_enum("log_format", "text", ["text", "json"], "Form of logs.")
LOG_LEVEL = flags.DEFINE_enum(
    "log_level", "info", ["debug", "info", "warning"], "Least level of logs."
)


def run(argv: list[str]) -> int:
    """Serve until a planned stop; return the exit code."""
    if len(argv) > 1:
        sys.stderr.write(f"cedarchuted takes only flags, not '{argv[1]}'\n")
        return EXIT_BAD_SETTINGS
    if SETTINGS.value is None:
        sys.stderr.write("cedarchuted: give --settings FILE\n")
        return EXIT_BAD_SETTINGS
    set_up_logs(LOG_FORMAT.value, LOG_LEVEL.value)
    try:
        if "role" in read_sections(SETTINGS.value).get("box", {}):
            set_up_bounded_logs(LOG_FORMAT.value, LOG_LEVEL.value)
            return run_node(SETTINGS.value)
        return run_peer(SETTINGS.value)
    except (IniError, PortInUseError) as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_SETTINGS


def run_peer(file: str) -> int:
    """Serve as one of many like boxes; return the exit code.

    What this takes is imported here, so that boxes of one role need not load it.
    """
    let_modules_in()
    from cedarchute.copies.disk_storage import FolderInUseError
    from cedarchute.daemon.composition import compose
    from cedarchute.daemon.stop_request import StopAskedError, StopRequest
    from cedarchute.settings.loader import load_settings

    settings = load_settings(file)
    listeners = open_listeners(settings.box, file)
    stop = StopRequest()
    handle_signals(lambda _: stop.ask())
    try:
        compose(settings, listeners, stop).run()
    except FolderInUseError as error:
        sys.stderr.write(f"{file}: {error}\n")
        return EXIT_BAD_SETTINGS
    except StopAskedError:
        log.info("Stopped before joining.")
    return EXIT_OK


def main() -> None:
    """Run the daemon as a program.

    Flags are parsed without absl's own runner, which imports a debugger and more: a
    start after a loss of power is part of how long callers wait.
    """
    flags.DEFINE_boolean("help", False, "Show these flags.")
    try:
        argv = flags.FLAGS(sys.argv)
    except flags.Error as error:
        sys.stderr.write(f"cedarchuted: {error}\n")
        sys.exit(EXIT_BAD_FLAGS)
    if flags.FLAGS.help:
        sys.stdout.write(f"cedarchuted [flags]\n{flags.FLAGS.get_help()}\n")
        sys.exit(EXIT_OK)
    code = run(argv)
    # An interpreter that ends gives its own handlers up before it is gone.
    EARLY_SIGNALS.ignore()
    sys.exit(code)


if __name__ == "__main__":
    main()
