"""``cedarchute show``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.cli.command import Command
from cedarchute.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Print the accepted file."""
    del words
    current = client.get("/operators/file")
    output.show(current, current["text"])
    return ExitCode.OK


COMMAND = Command(
    name="show",
    usage="show",
    summary="Print the accepted file",
    details="With --json also its revision and who applied it.",
    arguments=0,
    run=run,
)
