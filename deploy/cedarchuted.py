"""Starts the daemon from a checkout, without installing it."""

import os
import sys

# Without pathlib: signals are recorded from the next import on.
root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(root, "src"))

from cedarchute.daemon.main import main  # noqa: E402

main()
