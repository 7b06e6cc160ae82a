"""Where the platform keeps what it says, in its store."""

from __future__ import annotations

from typing import Final

CONFIGURATION: Final = "op/config"
# One entry for each start of a target.
TARGETS: Final = "servers/"
# An operator asks that the box named behind it be emptied.
RETIRE: Final = "op/retire/"
# What we answer to that.
RETIRE_STATUS: Final = "status/retire/"
