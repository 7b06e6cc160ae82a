"""Entry point of ``cedarchute``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

from absl import app, flags

from cedarchute.cli import (
    apply,
    boxes,
    check,
    diff,
    entries,
    explain,
    program,
    show,
    status,
    targets,
)
from cedarchute.cli.box_client import BoxClient, BoxRefusedError, BoxSilentError
from cedarchute.cli.exit_codes import ExitCode
from cedarchute.cli.output import Output
from cedarchute.ini import IniError

if TYPE_CHECKING:
    from cedarchute.cli.command import Command

COMMANDS: Final[dict[str, Command]] = {
    command.name: command
    for command in (
        apply.COMMAND,
        boxes.COMMAND,
        check.COMMAND,
        diff.COMMAND,
        entries.COMMAND,
        explain.COMMAND,
        program.COMMAND,
        show.COMMAND,
        status.COMMAND,
        targets.COMMAND,
    )
}

BOX = flags.DEFINE_list(
    "box",
    ["127.0.0.1:7001"],
    "Peer addresses of some boxes, IP:PORT separated by commas; the first that "
    "answers is used.",
)
JSON = flags.DEFINE_bool("json", False, "Print JSON instead of tables.")


def describe_commands() -> str:
    """Return one line for each sub-command."""
    lines = ["usage: cedarchute [--box IP:PORT,...] [--json] COMMAND ...", ""]
    for command in COMMANDS.values():
        lines.append(f"  {command.usage:<38} {command.summary}")
    lines.append("")
    lines.append("'cedarchute help COMMAND' tells more; '--help' lists all flags.")
    return "\n".join(lines)


def run(argv: list[str]) -> int:
    """Run one sub-command and return the exit code."""
    words = argv[1:]
    if not words or words[0] == "help":
        command = COMMANDS.get(words[1]) if len(words) > 1 else None
        print(command.help if command else describe_commands())
        return ExitCode.OK
    command = COMMANDS.get(words[0])
    if command is None:
        sys.stderr.write(f"'{words[0]}' is no command\n\n{describe_commands()}\n")
        return ExitCode.BAD_USE
    if len(words) - 1 != command.arguments:
        sys.stderr.write(f"usage: cedarchute {command.usage}\n")
        return ExitCode.BAD_USE
    try:
        client = BoxClient(BOX.value)
        return command.run(client, Output(is_json=JSON.value), words[1:])
    except IniError as error:
        sys.stderr.write(f"{error}\n")
        return ExitCode.BAD_FILE
    except ValueError as error:
        sys.stderr.write(f"--box: {error}\n")
        return ExitCode.BAD_USE
    except BoxSilentError as error:
        sys.stderr.write(f"{error}\n")
        return ExitCode.NO_BOX
    except BoxRefusedError as error:
        sys.stderr.write(f"{error}\n")
        return error.exit_code


def main() -> None:
    """Run the tool as a program."""
    app.run(lambda argv: sys.exit(run(argv)))


if __name__ == "__main__":
    main()
