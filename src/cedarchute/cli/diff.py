"""``cedarchute diff FILE``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.cli.command import Command
from cedarchute.cli.differences import find_differences, format_differences
from cedarchute.cli.exit_codes import ExitCode
from cedarchute.cli.files import read_checked

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Show what a file would change."""
    current = client.get("/operators/file")
    differences = find_differences(current["text"], read_checked(words[0]))
    output.show(
        {"base": current["revision"], "changes": [str(d) for d in differences]},
        format_differences(differences),
    )
    return ExitCode.OK


COMMAND = Command(
    name="diff",
    usage="diff FILE",
    summary="Show what a file would change",
    details="Lines start with + for new keys, - for removed ones, ~ for changes.",
    arguments=1,
    run=run,
)
