"""``cedarchute program ID``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.cli.command import Command
from cedarchute.cli.exit_codes import ExitCode
from cedarchute.cli.output import format_table

if TYPE_CHECKING:
    from cedarchute.cli.box_client import BoxClient
    from cedarchute.cli.output import Output


def run(client: BoxClient, output: Output, words: list[str]) -> int:
    """Show where a program lives, its calls, its budget and its verdicts."""
    shown = client.get(f"/v1/programs/{words[0]}")
    budget = shown["budget"]
    head = (
        f"program {shown['program']} of {shown['workspace']}, {shown['state']}\n"
        f"home {shown['home']}, epoch {shown['epoch']}, "
        f"takeovers {shown['takeovers']}, copies on {', '.join(shown['holders'])}\n"
        f"tokens {budget['tokens_used']} of {budget['tokens']}, "
        f"calls {budget['calls_used']} of {budget['calls']}\n\n"
    )
    rows = [
        [call["key"], call["service"], call["target"], call["verdict"], call["tokens"]]
        for call in shown["calls"]
    ]
    heads = ["call", "service", "target", "verdict", "tokens"]
    output.show(shown, head + format_table(heads, rows))
    return ExitCode.OK


COMMAND = Command(
    name="program",
    usage="program ID",
    summary="Show where a program lives, its calls, budget and verdicts",
    details="Any box may be asked.",
    arguments=1,
    run=run,
)
