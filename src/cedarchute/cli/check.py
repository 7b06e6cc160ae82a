"""``cedarchute check FILE``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.cli.command import Command
from cedarchute.cli.exit_codes import ExitCode
from cedarchute.cli.files import read_checked

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Check a file without asking any box."""
    del client
    read_checked(words[0])
    output.show({"file": words[0], "ok": True}, f"{words[0]}: would be accepted")
    return ExitCode.OK


COMMAND = Command(
    name="check",
    usage="check FILE",
    summary="Check an operators' file; asks no box",
    details="Lists every fault with its section, its key and how to mend it.",
    arguments=1,
    run=run,
)
