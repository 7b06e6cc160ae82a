"""``cedarchute entries``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.cli.command import Command
from cedarchute.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Show the addresses that callers are told to use."""
    del words
    answer = client.get("/v1/entries")
    entries = sorted(answer["entries"], key=lambda entry: entry["address"])
    rows = [[entry["address"], entry["failure_domain"]] for entry in entries]
    output.show_table(answer, ["address", "failure domain"], rows)
    return ExitCode.OK


COMMAND = Command(
    name="entries",
    usage="entries",
    summary="Show the addresses that callers are told to use",
    details="Boxes that leave are not among them.",
    arguments=0,
    run=run,
)
