from __future__ import annotations

import pytest

from cedarchute.ini import IniError
from cedarchute.operators.parser import parse_site_file

GOOD = """
[site]
name = x
[service agent]
kind = model
model = small
[target one]
service = agent
address = 127.0.0.1:9000
failure_domain = a
"""


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("", "[site]: missing"),
        ("name = x", "write 'key = value' lines under [section]"),
        (GOOD + "[targets two]\nservice = agent", "unknown section"),
        (GOOD.replace("model = small", ""), "[service agent] model: missing"),
        (GOOD.replace("kind = model", "kind = magic"), "[service agent] kind"),
        (GOOD.replace("service = agent", "service = b"), "no [service b]"),
        (GOOD.replace("127.0.0.1:9000", "host:9000"), "is not an IP number"),
        (GOOD.replace("127.0.0.1:9000", "127.0.0.1"), "is not IP:PORT"),
        (GOOD + "colour = red", "[target one] colour: unknown key"),
        (GOOD + "[target one]\nservice = agent", "already exists"),
        (
            GOOD + GOOD[GOOD.index("[target") :].replace("one", "two"),
            "address: also used by [target one]",
        ),
        (
            GOOD + "[workspace w]\nprogram_tokens = -5",
            "[workspace w] program_tokens",
        ),
    ],
)
def test_a_wrong_file_names_section_key_and_mend(text, fault):
    with pytest.raises(IniError) as error:
        parse_site_file(text, "site.ini")
    assert fault in str(error.value)
    assert "site.ini" in str(error.value)


def test_every_fault_is_listed_at_once():
    text = GOOD.replace("small", "").replace("127.0.0.1:9000", "x")
    with pytest.raises(IniError) as error:
        parse_site_file(text)
    assert len(error.value.faults) == 2
