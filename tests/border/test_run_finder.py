from __future__ import annotations

from types import SimpleNamespace

import pytest

from cedarchute.border.run_finder import RunFinder
from cedarchute.problem import Problem
from cedarchute.verdict import Verdict


@pytest.mark.parametrize(
    ("takeovers", "verdict"), [(0, Verdict.NOT_RUN), (1, Verdict.MAY_HAVE_RUN)]
)
def test_an_unknown_key_is_not_said_not_to_have_run_after_a_takeover(
    takeovers, verdict
):
    """A repeatable plain call is recorded only with its outcome."""
    program = SimpleNamespace(takeover_count=takeovers)
    registry = SimpleNamespace(find=lambda _: program)
    runner = SimpleNamespace(find=lambda *_: None)
    exchange = SimpleNamespace(program="p", key="ask", request=None)
    with pytest.raises(Problem) as raised:
        RunFinder(registry, runner).find(exchange)
    assert raised.value.verdict is verdict
