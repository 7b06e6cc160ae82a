from __future__ import annotations

from pathlib import Path

import pytest

from cedarchute.operators.parser import parse_site_file
from cedarchute.settings.loader import load_settings

EXAMPLES = Path(__file__).parents[1] / "examples"


@pytest.mark.parametrize(
    ("name", "counts", "domains"),
    [
        ("shrestha", {"vichar": 6, "patra": 13}, 3),
        ("vanua", {"agent-llm": 5, "core-api": 10}, 4),
    ],
)
def test_the_users_files_are_as_the_brief_has_them(name, counts, domains):
    site = parse_site_file((EXAMPLES / f"{name}.ini").read_text(), name)
    for service, count in counts.items():
        targets = site.targets_of(service)
        assert len(targets) == count
        assert len({t.failure_domain for t in targets.values()}) == domains


def test_the_settings_of_a_box_are_good():
    assert load_settings(str(EXAMPLES / "box.ini")).box.name == "box-1"
