from __future__ import annotations

import pytest
from fakes import StillClock

from cedarchute.metrics import Metrics
from cedarchute.operators.accepted_file import AcceptedFile
from cedarchute.operators.applier import Applier, ApplyRequest
from cedarchute.operators.configuration import Configuration
from cedarchute.platform.store_entry import StoreEntry
from cedarchute.problem import Problem

TEXT = "[site]\nname = test\n"


def make_file(revision, operator):
    return AcceptedFile(
        revision=revision,
        operation=f"o{revision}",
        operator=operator,
        applied_at=0.0,
        text=TEXT,
    )


class OvertakenStore:
    """Another operator's file is accepted while an answer is on its way."""

    def __init__(self, stored, configuration, accepted_meanwhile):
        self.stored = stored
        self.configuration = configuration
        self.accepted_meanwhile = accepted_meanwhile

    def get(self, key):
        entry = StoreEntry(key, self.stored.to_json(), 1)
        self.configuration.offer(self.accepted_meanwhile, "watch")
        self.stored = self.accepted_meanwhile
        return entry

    def swap(self, key, value, version, lease=0):
        current = StoreEntry(key, self.stored.to_json(), 2)
        return type("Result", (), {"won": False, "current": current})()


def apply(accepted_before):
    metrics = Metrics()
    configuration = Configuration(metrics)
    first, second = make_file(1, "sita"), make_file(2, "hari")
    configuration.offer(second if accepted_before else first, "start")
    store = OvertakenStore(first, configuration, second)
    applier = Applier(store, "key", configuration, StillClock(), metrics)
    request = ApplyRequest(operation="mine", operator="me", base=1, text=TEXT)
    with pytest.raises(Problem) as raised:
        applier.apply(request)
    return raised.value


def test_a_file_accepted_during_the_read_is_a_race_and_no_store_that_went_back():
    problem = apply(accepted_before=False)
    assert problem.code == "apply_raced"
    assert "hari" in problem.detail


def test_a_store_behind_what_was_in_force_before_the_read_went_back():
    assert apply(accepted_before=True).code == "store_went_back"
