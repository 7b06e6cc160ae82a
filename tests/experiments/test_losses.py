from __future__ import annotations

import json

import pytest

from experiments.losses import count_given_up, describe, find_ceiling, list_losses


def make_window(name, late=0, refused=0, failed=0):
    return {"name": name, "n": 50, "late": late, "refused": refused, "failed": failed}


REPORT = {
    "G": 0.8,
    "parts": [["whole day", 0.6, 0.95], ["worst windows", 0.4, 0.7]],
    "prices": [["machine-seconds", 100.0, 0.03], ["memory", 7.0, 0.02], ["x", 1, 0.0]],
    "all": {
        "n": 100,
        "in_aim": 90,
        "late": 3,
        "refused": 5,
        "failed": 2,
        "not_owed": 0,
    },
    "windows": [
        make_window("0"),
        make_window("2", refused=5),
        make_window("4", late=3),
    ],
}


def test_the_losses_sum_up_to_what_lacks():
    losses = list_losses(REPORT)
    assert [loss.cause.split()[0] for loss in losses][:2] == ["worst", "whole"]
    assert sum(loss.share for loss in losses) == pytest.approx(1.0 - REPORT["G"])


def test_no_system_escapes_the_price_of_its_boxes():
    assert find_ceiling(REPORT) == pytest.approx(0.97)


def test_reasons_are_counted_without_what_differs():
    document = {
        "message": "Call given up.",
        "status": 402,
        "why": "30 of 40 tokens spent",
    }
    other = {**document, "why": "31 of 50 tokens spent"}
    lines = [f"  1.0 box {json.dumps(d)}" for d in (document, other)]
    lines += ["no line of a box", '  {"message": "Call answered.", "status": 200}', "{"]
    assert count_given_up(lines) == {(402, "of tokens spent"): 2}


def test_the_table_names_the_worst_spans():
    table = "\n".join(describe(REPORT))
    assert "from 2 s: asked 50, late 0, refused 5" in table
    assert "from 0 s" not in table
