"""What a box of the users' platform keeps out of its memory."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Modules of a role are imported as the daemon imports them, in a process of its own.
SCRIPT = """
import cedarchute.daemon.main
import cedarchute.daemon.{box}
import sys
print(*[name for name, module in sys.modules.items() if module is not None])
"""


def list_modules(box: str) -> set[str]:
    """Return the modules that a process of one role holds."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(box=box)],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(done.stdout.split())


@pytest.mark.parametrize("box", ["entry_box", "holder_box"])
def test_a_box_holds_no_module_that_it_never_uses(box):
    modules = list_modules(box)
    assert "cedarchute.daemon." + box in modules
    assert not modules & {"ssl", "_ssl", "_hashlib", "asyncio", "asyncio.events"}
    assert not modules & {"dns", "pydantic", "werkzeug"}
