"""Keys and key prefixes in the platform's store."""

from __future__ import annotations

from typing import Final

CONFIGURATION: Final = "op/config"
# One entry for each target incarnation.
TARGETS: Final = "servers/"
# Followed by the name of a box that an operator wants retired.
RETIRE: Final = "op/retire/"
# Followed by the name of a box; holds the progress of its retirement.
RETIRE_STATUS: Final = "status/retire/"
