from __future__ import annotations

from collections import Counter

import pytest
from fakes import StillClock

from cedarchute.address import Address
from cedarchute.membership.box_record import BoxRecord
from cedarchute.membership.view import View
from cedarchute.metrics import Metrics
from cedarchute.operators.accepted_file import AcceptedFile
from cedarchute.operators.configuration import Configuration
from cedarchute.programs.cache_sweeper import CacheSweeper


class Engines:
    """Notes which engines are asked what they hold."""

    def __init__(self):
        self.asked = Counter()

    def list_cached_programs(self, address):
        self.asked[str(address)] += 1
        return []


def make_configuration(engines):
    lines = ["[site]", "name = large", "[service agent]", "kind = model", "model = m"]
    lines += ["[service bank]", "kind = plain", "[target bank-1]", "service = bank"]
    lines += ["address = 127.0.0.1:9", "failure_domain = a"]
    for number in range(engines):
        lines += [f"[target e{number}]", "service = agent", "failure_domain = a"]
        lines.append(f"address = 127.0.0.1:{1000 + number}")
    configuration = Configuration(Metrics())
    text = "\n".join(lines) + "\n"
    configuration.offer(
        AcceptedFile(
            revision=1, operation="o", operator="x", applied_at=0.0, text=text
        ),
        "test",
    )
    return configuration


@pytest.mark.parametrize(("boxes", "engines"), [(1, 3), (8, 60), (40, 120)])
def test_each_engine_is_swept_by_one_box_however_many_there_are(boxes, engines):
    view = View()
    for number in range(boxes):
        address = Address("127.0.0.1", 5000 + number)
        record = BoxRecord(
            name=f"b{number}",
            incarnation=1,
            caller_address=address,
            peer_address=address,
            failure_domain="a",
            region="r",
            holder=f"b{number}.1",
        )
        view.put_box(record)
    asked = Engines()
    configuration = make_configuration(engines)
    for number in range(boxes):
        sweeper = CacheSweeper(
            f"b{number}",
            view,
            None,
            configuration,
            asked,
            None,
            30.0,
            StillClock(),
            Metrics(),
        )
        sweeper.sweep_once()
    assert asked.asked == {f"127.0.0.1:{1000 + n}": 1 for n in range(engines)}
