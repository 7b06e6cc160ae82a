from __future__ import annotations

from cedarchute.metrics import Metrics
from cedarchute.operators.accepted_file import AcceptedFile
from cedarchute.operators.configuration import Configuration


def make_file(revision):
    return AcceptedFile(
        revision=revision,
        operation=f"o{revision}",
        operator="x",
        applied_at=0.0,
        text="[site]\nname = x\n",
    )


def test_a_lower_revision_never_comes_into_force():
    configuration = Configuration(Metrics())
    seen = []
    configuration.listeners.append(lambda accepted: seen.append(accepted.revision))
    for revision in (1, 3, 2, 3, 4, 1):
        configuration.offer(make_file(revision), "test")
    assert seen == [1, 3, 4]
    assert configuration.revision == 4
