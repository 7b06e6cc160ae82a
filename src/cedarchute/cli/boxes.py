"""``cedarchute boxes``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.cli.command import Command
from cedarchute.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Show the boxes and what they do."""
    del words
    status = client.get("/operators/status")
    rows = [
        [
            box["identity"],
            box["failure_domain"],
            box["caller_address"],
            box["state"],
            box["programs"],
            box["calls_in_progress"],
            box["partitions"],
            box["copies"],
        ]
        for box in status["boxes"]
    ]
    heads = [
        "box",
        "failure domain",
        "address",
        "state",
        "programs",
        "calls",
        "partitions",
        "copies",
    ]
    output.show_table(status["boxes"], heads, rows)
    return ExitCode.OK


COMMAND = Command(
    name="boxes",
    usage="boxes",
    summary="Show the boxes and what they do",
    details="With --json also the counters of each refusal and retry reason.",
    arguments=0,
    run=run,
)
