"""Takes one mechanism out at a time and shows that a named test fails.

Each test is run untouched as well: one that fails by itself would prove nothing.
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
from typing import TYPE_CHECKING, Final

from experiments.marked_page import replace_marked
from experiments.mutations import MUTATIONS, Mutation

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT: Final = Path(__file__).parents[2]
PAGE: Final = ROOT / "docs" / "PROMISES.md"
WORKERS: Final = 3
TEST_SECONDS: Final = 240


def try_mutation(mutation: Mutation) -> str:
    """Return ``failed`` when the test notices, ``passed`` when it does not."""

    def mutate(folder: Path) -> bool:
        path = folder / "src" / "cedarchute" / mutation.file
        text = path.read_text()
        path.write_text(text.replace(mutation.before, mutation.after))
        return mutation.before in text

    return run_test(mutation.test, mutate)


def try_untouched(test: str) -> str:
    """Return how a test ends with every mechanism in place."""
    return run_test(test, lambda _: True)


def run_test(test: str, change: Callable[[Path], bool]) -> str:
    """Return how a test ends in a changed copy of the project."""
    with tempfile.TemporaryDirectory(prefix="cedarchute-prove-") as name:
        folder = Path(name)
        shutil.copytree(ROOT / "src", folder / "src")
        shutil.copytree(ROOT / "tests", folder / "tests")
        shutil.copytree(ROOT / "examples", folder / "examples")
        shutil.copytree(ROOT / "deploy", folder / "deploy")
        shutil.copy(ROOT / "pyproject.toml", folder)
        if not change(folder):
            return "not found"
        environment = {**os.environ, "PYTHONPATH": str(folder / "src")}
        command = [sys.executable, "-m", "pytest", "-x", "-q", test]
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
    rows = [
        "| Mechanism taken out | Test | Untouched | Without it |",
        "| --- | --- | --- | --- |",
    ]
    unnoticed = 0
    with ThreadPoolExecutor(WORKERS) as pool:
        tests = sorted({mutation.test for mutation in chosen})
        untouched = dict(zip(tests, pool.map(try_untouched, tests), strict=True))
        for test, result in untouched.items():
            print(f"untouched: {result:10} {test}", flush=True)
        for mutation, result in zip(
            chosen, pool.map(try_mutation, chosen), strict=True
        ):
            print(f"{result:10} {mutation.mechanism}", flush=True)
            alone = untouched[mutation.test]
            unnoticed += result != "failed" or alone != "passed"
            rows.append(
                f"| {mutation.mechanism} | `{mutation.test}` | {alone} | {result} |"
            )
    if not arguments.only:
        replace_marked(PAGE, "prove-tests", "\n".join(rows))
    sys.exit(1 if unnoticed else 0)


if __name__ == "__main__":
    main()
