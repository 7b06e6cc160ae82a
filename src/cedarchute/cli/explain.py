"""``cedarchute explain ID``."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, Final

from cedarchute.cli.command import Command
from cedarchute.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output

# What a line may be about, beside its request.
NAMING_FIELDS: Final = ("program", "target", "box", "entry")
# Told first or not at all: the rest of a line are the inputs of its decision.
KNOWN_FIELDS: Final = frozenset(("time", "level", "part", "message", "request_id"))


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Print what the logs on standard input say of a request, program or entry."""
    del client
    story = find_story(sys.stdin, words[0])
    rows = [describe(line) for line in story]
    output.show_table(story, ("time", "from", "request", "what", "inputs"), rows)
    return ExitCode.OK if story else ExitCode.BAD_USE


def find_story(texts: Iterable[str], wanted: str) -> list[dict[str, Any]]:
    """Return the lines about a request, or about every request of a program.

    A target, a box or a key of the store may be named too: then the lines tell what
    was believed of it. A line may stand behind the name of its box and a time, as
    collectors print it.
    """
    lines = [line for text in texts if (line := read_line(text)) is not None]
    requests = {wanted}
    for line in lines:
        if line.get("program") == wanted and "request_id" in line:
            requests.add(line["request_id"])
    story = [
        line
        for line in lines
        if line.get("request_id") in requests or is_about(line, wanted)
    ]
    return sorted(story, key=lambda line: str(line["time"]))


def is_about(line: dict[str, Any], wanted: str) -> bool:
    """Return whether a line names a program, target, box or entry."""
    return any(line.get(field) == wanted for field in NAMING_FIELDS)


def read_line(text: str) -> dict[str, Any] | None:
    """Return a log line as a document, with `from` for what stands before it."""
    before, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        document = json.loads(brace + rest)
    except ValueError:
        return None
    if not isinstance(document, dict) or "message" not in document:
        return None
    words = before.split()
    return {**document, "from": words[-1] if words else ""}


def describe(line: dict[str, Any]) -> tuple[str, ...]:
    """Return the cells of one line."""
    inputs = (
        f"{name}={value}"
        for name, value in line.items()
        if name not in KNOWN_FIELDS and name != "from"
    )
    return (
        str(line["time"]).partition(" ")[2],
        str(line["from"]),
        str(line.get("request_id", "")),
        str(line["message"]),
        " ".join(inputs),
    )


COMMAND = Command(
    name="explain",
    usage="explain ID",
    summary="Tell the story of a request, program or entry from logs",
    details=(
        "Prints every line about the request, or about all requests of the program,\n"
        "in order of time: cat box-*.log | cedarchute explain 9c41d07be2a35f68\n"
        "The id of a target, the name of a box or the key of an entry in the store\n"
        "brings what was believed of it, and why an entry was not used.\n"
    ),
    arguments=1,
    run=run,
)
