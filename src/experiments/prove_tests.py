"""Takes one mechanism out at a time and shows that a named test fails.

``make prove-tests`` writes the table between the marks of docs/PROMISES.md.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from experiments.marked_page import replace_marked
from experiments.mutations import MUTATIONS, Mutation

ROOT: Final = Path(__file__).parents[2]
PAGE: Final = ROOT / "docs" / "PROMISES.md"
WORKERS: Final = 3
TEST_SECONDS: Final = 240


def try_mutation(mutation: Mutation) -> str:
    """Return ``failed`` when the test notices, ``passed`` when it does not."""
    with tempfile.TemporaryDirectory(prefix="cedarchute-prove-") as name:
        folder = Path(name)
        shutil.copytree(ROOT / "src", folder / "src")
        shutil.copytree(ROOT / "tests", folder / "tests")
        shutil.copytree(ROOT / "examples", folder / "examples")
        shutil.copy(ROOT / "pyproject.toml", folder)
        path = folder / "src" / "cedarchute" / mutation.file
        text = path.read_text()
        if mutation.before not in text:
            return "not found"
        path.write_text(text.replace(mutation.before, mutation.after))
        environment = {**os.environ, "PYTHONPATH": str(folder / "src")}
        command = [sys.executable, "-m", "pytest", "-x", "-q", mutation.test]
        try:
            result = subprocess.run(
                command,
                cwd=folder,
                env=environment,
                capture_output=True,
                timeout=TEST_SECONDS,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return "failed"
    if result.returncode not in (0, 1):
        return f"exit code {result.returncode}"
    return "failed" if result.returncode else "passed"


def main() -> None:
    """Try every mutation; exit with 1 when a test did not notice one."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="", help="part of a mechanism's name")
    arguments = parser.parse_args()
    chosen = [m for m in MUTATIONS if arguments.only in m.mechanism]
    rows = ["| Mechanism taken out | Test | The test |", "| --- | --- | --- |"]
    unnoticed = 0
    with ThreadPoolExecutor(WORKERS) as pool:
        for mutation, result in zip(
            chosen, pool.map(try_mutation, chosen), strict=True
        ):
            print(f"{result:10} {mutation.mechanism}", flush=True)
            unnoticed += result != "failed"
            rows.append(f"| {mutation.mechanism} | `{mutation.test}` | {result} |")
    if not arguments.only:
        replace_marked(PAGE, "prove-tests", "\n".join(rows))
    sys.exit(1 if unnoticed else 0)


if __name__ == "__main__":
    main()
