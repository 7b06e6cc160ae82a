"""Keeps modules out of memory that no box ever uses.

Memory is dear on small boxes, and a start after a loss of power is part of how long
callers wait: together these modules take 6 MB and a quarter of the imports' time.
"""

from __future__ import annotations

import importlib.util
import sys
from contextlib import contextmanager
from types import ModuleType
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

# Connections between boxes and to targets are plain TCP by IP number.
ENCRYPTION_MODULES: Final = ("ssl", "_ssl")
# Without the accelerated hashes, `hashlib` takes the built-in ones, which are the
# same functions; some builds of Python leave those out.
ACCELERATED_HASHES: Final = "_hashlib"
BUILT_IN_HASH: Final = "_md5"
# Lacks its part for TLS when imported without it; the next to import it reads it anew.
MODULE_WITHOUT_ENCRYPTION: Final = "http.client"
# Messages are annotated with what the standard library has; where this backport is
# installed, msgspec imports it as well.
BACKPORTED_TYPES: Final = "typing_extensions"
# eventlet imports it for a hub that is not used here.
OTHER_LOOP: Final = "asyncio"


def keep_out_unused_modules() -> None:
    """Make imports of what no box uses fail during the start, as if not installed."""
    for name in ENCRYPTION_MODULES:
        sys.modules[name] = None
    if BACKPORTED_TYPES not in sys.modules:
        sys.modules[BACKPORTED_TYPES] = None
    if importlib.util.find_spec(BUILT_IN_HASH) is not None:
        sys.modules[ACCELERATED_HASHES] = None


def let_modules_in() -> None:
    """Let later imports succeed again: the page of metrics asks for more."""
    for name in (*ENCRYPTION_MODULES, ACCELERATED_HASHES, BACKPORTED_TYPES):
        if name in sys.modules and sys.modules[name] is None:
            del sys.modules[name]
            sys.modules.pop(MODULE_WITHOUT_ENCRYPTION, None)


@contextmanager
def empty_other_loop() -> Iterator[None]:
    """Stand an empty module in for the other event loop while eventlet is imported."""
    if OTHER_LOOP in sys.modules:
        yield
        return
    sys.modules[OTHER_LOOP] = ModuleType(OTHER_LOOP)
    try:
        yield
    finally:
        del sys.modules[OTHER_LOOP]
