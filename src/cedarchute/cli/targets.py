"""``cedarchute targets``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.cli.command import Command
from cedarchute.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Show the targets as the asked box sees them."""
    del words
    found = client.get("/operators/targets")["targets"]
    rows = [
        [
            target["name"],
            target["service"],
            target["address"],
            target["failure_domain"],
            "failing" if target["failing"] else target["state"],
            target["in_flight"],
            "" if target["running"] is None else target["running"],
            "" if target["waiting"] is None else target["waiting"],
            target["version"],
        ]
        for target in found
    ]
    heads = [
        "target",
        "service",
        "address",
        "failure domain",
        "state",
        "in flight",
        "running",
        "waiting",
        "version",
    ]
    output.show_table(found, heads, rows)
    return ExitCode.OK


COMMAND = Command(
    name="targets",
    usage="targets",
    summary="Show the targets as the asked box sees them",
    details="Load figures are as late as the targets' own reports.",
    arguments=0,
    run=run,
)
