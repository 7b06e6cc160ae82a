from __future__ import annotations

import pytest

from cedarchute.ini import IniError
from cedarchute.settings.loader import load_settings, parse_settings

GOOD = """
[box]
name = box-1
failure_domain = a
caller_address = 127.0.0.1:7000
peer_address = 127.0.0.1:7001
[platform]
store = 127.0.0.1:7100
"""


def test_defaults_fill_what_is_left_out():
    settings = parse_settings(GOOD, "box.ini")
    assert settings.copies.wanted == 2
    assert settings.membership.lease_seconds == 15.0


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (GOOD.replace("[platform]", "[plattform]"), "unknown section"),
        (GOOD.replace("[platform]", "[plattform]"), "[platform] store: missing"),
        (GOOD.replace("7001", "7000"), "same as caller_address"),
        (GOOD + "data_folder = /nowhere", "[platform] data_folder: unknown key"),
        (GOOD.replace("name = box-1", "name = a b"), "[box] name"),
        (GOOD.replace("127.0.0.1:7000", "localhost:7000"), "is not an IP number"),
        (GOOD + "[membership]\nlease_seconds = -1", "[membership] lease_seconds"),
        (GOOD + "[membership]\ntakeover_seconds = 1", "twice heartbeat_seconds"),
        (
            GOOD.replace("[platform]", "data_folder = /nowhere\n[platform]"),
            "create it first",
        ),
    ],
)
def test_wrong_settings_name_file_section_key_and_mend(text, fault):
    with pytest.raises(IniError) as error:
        parse_settings(text, "box.ini")
    assert fault in str(error.value)
    assert "box.ini: [" in str(error.value)


def test_a_missing_file_says_how_to_give_one(tmp_path):
    with pytest.raises(IniError, match="--settings"):
        load_settings(str(tmp_path / "none.ini"))
