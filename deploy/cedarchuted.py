"""Starts the daemon from a checkout, without installing it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cedarchute.daemon.main import main  # noqa: E402

main()
