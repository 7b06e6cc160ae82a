"""The flags of the daemon, parsed without absl's own runner."""

from __future__ import annotations

import subprocess
import sys


def run_daemon(*arguments):
    command = [sys.executable, "-m", "cedarchute.daemon.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_help_names_the_flags():
    done = run_daemon("--help")
    assert done.returncode == 0
    for flag in ("--settings", "--log_format", "--log_level"):
        assert flag in done.stdout


def test_an_unknown_flag_is_told():
    done = run_daemon("--nonsense")
    assert done.returncode == 1
    assert "nonsense" in done.stderr


def test_a_value_that_a_flag_does_not_take_is_told():
    done = run_daemon("--log_format", "sheet")
    assert done.returncode == 1
    assert "sheet" in done.stderr


def test_a_missing_settings_file_is_told():
    done = run_daemon("--settings", "/nowhere/box.ini")
    assert done.returncode == 2
    assert "/nowhere/box.ini" in done.stderr
