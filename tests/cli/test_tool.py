from __future__ import annotations

import json
import subprocess
import sys

import pytest
from support import make_messages

from experiments.caller import Caller


def run(site, *words):
    boxes = ",".join(site.peers.values())
    command = [sys.executable, "-m", "cedarchute.cli.main", "--box", boxes, *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@pytest.fixture
def site_file(site, tmp_path):
    path = tmp_path / "site.ini"
    path.write_text(site.site_text())
    return path


def test_check_needs_no_box_and_lists_every_fault(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[site]\n[target x]\nservice = y\n")
    command = [sys.executable, "-m", "cedarchute.cli.main", "check", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 3
    assert "[site] name: missing" in result.stderr
    assert "[target x] address: missing" in result.stderr


def test_a_dry_run_shows_the_changes_and_makes_none(site, site_file):
    text = site_file.read_text()
    site_file.write_text(text.replace("[site]", "[site]\nlatency_weight = 0.25"))
    result = run(site, "--dry_run", "apply", str(site_file))
    assert result.returncode == 0
    assert "+ [site] latency_weight = 0.25" in result.stdout
    assert run(site, "diff", str(site_file)).stdout == result.stdout
    assert "latency_weight" not in run(site, "show").stdout


def test_apply_waits_until_in_force_and_a_raced_one_says_who_won(site, site_file):
    current = json.loads(run(site, "--json", "show").stdout)["revision"]
    first = run(site, "--wait", "--operator", "sita", "apply", str(site_file))
    assert first.returncode == 0, first.stderr
    assert f"revision {current + 1} in force everywhere" in first.stdout
    raced = run(site, "--base", str(current), "apply", str(site_file))
    assert raced.returncode == 5
    assert "sita" in raced.stderr
    status = run(site, "status")
    assert status.returncode == 0
    assert f"revision {current + 1} by sita" in status.stdout


def test_a_program_is_shown_from_any_box(site):
    caller = Caller(list(site.callers.values()))
    program = caller.open()
    caller.call(
        program, "ask", service="agent", messages=make_messages("Hi"), max_tokens=4
    )
    shown = run(site, "program", program)
    assert shown.returncode == 0
    assert "ask" in shown.stdout
    assert json.loads(run(site, "--json", "program", program).stdout)["calls"]


def test_boxes_targets_and_entries_are_tables(site):
    assert "box-1" in run(site, "boxes").stdout
    assert "engine-1" in run(site, "targets").stdout
    assert len(run(site, "entries").stdout.strip().splitlines()) == 4


@pytest.mark.parametrize(
    ("words", "code"),
    [
        ([], 0),
        (["help", "apply"], 0),
        (["fly"], 2),
        (["apply"], 2),
        (["--box", "nowhere", "status"], 2),
        (["--box", "127.0.0.1:1", "status"], 4),
        (["apply", "/none.ini"], 3),
    ],
)
def test_exit_codes(words, code):
    command = [sys.executable, "-m", "cedarchute.cli.main", *words]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == code, result.stderr


def test_notices_of_libraries_are_no_output_of_the_tool(site):
    result = run(site, "status")
    assert result.returncode == 0
    assert result.stderr == ""
