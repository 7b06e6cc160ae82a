"""What a box of the users' platform keeps out of its memory."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Modules of a role are imported as the daemon imports them, in a process of its own.
SCRIPT = """
import cedarchute.daemon.main
import cedarchute.daemon.{box}
from cedarchute.daemon.listeners import load_server
load_server()
import sys
print(*[name for name, module in sys.modules.items() if module is not None])
"""
# What every box reads answers with: those of the store, of targets and of other boxes.
ANSWER_MODULES = {
    "cedarchute.relay",
    "cedarchute.relay.answer_head",
    "cedarchute.relay.answer_limits",
    "cedarchute.relay.answer_reader",
    "cedarchute.relay.answer_too_long",
    "cedarchute.relay.framing_bound",
    "cedarchute.relay.headers",
    "cedarchute.relay.malformed_answer_error",
    "cedarchute.relay.target_answer",
    "cedarchute.relay.target_failure",
}
# What is imported when first asked for is not kept out.
LATER = """
import cedarchute.daemon.main
import cedarchute.daemon.entry_box
from cedarchute.daemon.lean_start import let_modules_in
from cedarchute.metrics import Metrics
let_modules_in()
metrics = Metrics()
metrics.count("read")
print(metrics.render_text())
"""


def run_script(script: str) -> str:
    """Return what a script prints in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    return done.stdout


def list_modules(box: str) -> set[str]:
    """Return the modules that a process of one role holds."""
    return set(run_script(SCRIPT.format(box=box)).split())


def test_the_page_of_metrics_is_there_after_the_start():
    assert 'name="read"' in run_script(LATER)


@pytest.mark.parametrize("box", ["entry_box", "holder_box"])
def test_a_box_holds_no_module_that_it_never_uses(box):
    modules = list_modules(box)
    assert "cedarchute.daemon." + box in modules
    assert not modules & {"ssl", "_ssl", "_hashlib", "asyncio", "asyncio.events"}
    assert not modules & {"dns", "pydantic", "werkzeug", "pdb", "absl.app"}


def test_a_holder_holds_nothing_of_an_entry():
    modules = list_modules("holder_box")
    assert "cedarchute.daemon.entry_box" not in modules
    relay = {name for name in modules if name.startswith("cedarchute.relay")}
    assert relay == ANSWER_MODULES
