"""``cedarchute status``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.cli.command import Command
from cedarchute.cli.exit_codes import ExitCode
from cedarchute.cli.output import format_table

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Show the accepted revision and where it is in force."""
    del words
    status = client.get("/operators/status")
    rows = [
        [
            box["name"],
            box["failure_domain"],
            box["state"],
            box["revision"],
            "yes" if box["revision"] >= status["accepted"] else "no",
        ]
        for box in status["boxes"]
    ]
    rows += [[name, "?", "silent", "?", "?"] for name in status["silent"]]
    head = (
        f"accepted: revision {status['accepted']} by {status['operator'] or 'nobody'}\n"
        f"in force everywhere: {'yes' if status['in_force'] else 'no'}\n\n"
    )
    heads = ["box", "failure domain", "state", "revision", "in force"]
    output.show(status, head + format_table(heads, rows))
    return ExitCode.OK if status["in_force"] else ExitCode.NOT_IN_FORCE


COMMAND = Command(
    name="status",
    usage="status",
    summary="Show whether the accepted file is in force everywhere",
    details="Exit codes: 0 in force on every box, 6 not yet.",
    arguments=0,
    run=run,
)
