"""Runs the stateful test for longer, with a seed that is printed."""

from __future__ import annotations

import argparse
import os
import random
import subprocess
import sys
from typing import Final

TEST: Final = "tests/stateful/test_programs_machine.py"


def main() -> None:
    """Run the test; exit as it does."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--examples", type=int, default=300)
    parser.add_argument("--seed", type=int, default=None)
    arguments = parser.parse_args()
    seed = arguments.seed
    if seed is None:
        seed = random.SystemRandom().randrange(10**9)
    print(f"seed {seed}, {arguments.examples} examples", flush=True)
    environment = {
        **os.environ,
        "CEDARCHUTE_FUZZ_EXAMPLES": str(arguments.examples),
    }
    command = [sys.executable, "-W", "ignore", "-m", "pytest", TEST]
    command += ["--timeout", "3600", f"--hypothesis-seed={seed}"]
    sys.exit(subprocess.run(command, env=environment, check=False).returncode)


if __name__ == "__main__":
    main()
