"""``cedarchute apply FILE``."""

from __future__ import annotations

import getpass
import time
import uuid
from typing import TYPE_CHECKING, Final

from absl import flags

from cedarchute.cli.command import Command
from cedarchute.cli.differences import find_differences, format_differences
from cedarchute.cli.exit_codes import ExitCode
from cedarchute.cli.files import read_checked

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output

POLL_SECONDS: Final = 0.3

DRY_RUN = flags.DEFINE_bool("dry_run", False, "apply: only show what would change.")
WAIT = flags.DEFINE_bool("wait", False, "apply: wait until in force everywhere.")
WAIT_SECONDS = flags.DEFINE_float("wait_seconds", 30.0, "apply: how long to wait.")
OPERATOR = flags.DEFINE_string("operator", None, "apply: who applies; your login.")
BASE = flags.DEFINE_integer(
    "base", None, "apply: the revision that the file replaces; the accepted one."
)


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Apply a file and report what became of it."""
    text = read_checked(words[0])
    current = client.get("/operators/file")
    differences = find_differences(current["text"], text)
    if DRY_RUN.value:
        output.show(
            {"base": current["revision"], "changes": [str(d) for d in differences]},
            format_differences(differences),
        )
        return ExitCode.OK
    request = {
        "operation": uuid.uuid4().hex,
        "operator": OPERATOR.value or getpass.getuser(),
        "base": current["revision"] if BASE.value is None else BASE.value,
        "text": text,
    }
    result = client.request("PUT", "/operators/file", request)
    result["changes"] = [str(difference) for difference in differences]
    result["in_force"] = wait_in_force(client, result["revision"])
    state = "in force everywhere" if result["in_force"] else "accepted"
    lines = [format_differences(differences), f"revision {result['revision']} {state}"]
    output.show(result, "\n".join(lines))
    if WAIT.value and not result["in_force"]:
        return ExitCode.NOT_IN_FORCE
    return ExitCode.OK


def wait_in_force(client: BoxClient, revision: int) -> bool:
    """Return whether a revision is in force everywhere, waiting if asked to."""
    deadline = time.monotonic() + WAIT_SECONDS.value
    while True:
        status = client.get("/operators/status")
        if status["in_force"] and status["accepted"] >= revision:
            return True
        if not WAIT.value or time.monotonic() > deadline:
            return False
        time.sleep(POLL_SECONDS)


COMMAND = Command(
    name="apply",
    usage="apply FILE",
    summary="Replace the operators' file as a whole",
    details=(
        "Flags: --dry_run, --wait, --wait_seconds, --operator, --base.\n"
        "Exit codes: 0 accepted, 3 wrong file, 5 another operator was first,\n"
        "6 not in force in time (with --wait), 7 not known whether accepted."
    ),
    arguments=1,
    run=run,
)
