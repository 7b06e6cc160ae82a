from __future__ import annotations

from support import start_site

from experiments.box_timing import BoxTiming
from experiments.caller import Caller
from experiments.waiting import wait_until


def test_a_forgotten_program_is_not_said_not_to_have_run(tmp_path):
    """A call ran, and its program's answers are not kept any longer.

    Asked for the same key, its home said ``unknown_program``, verdict ``not run``.
    """
    timing = BoxTiming(keep_answers_seconds=0.5)
    with start_site(tmp_path / "run", timing=timing) as site:
        caller = Caller(list(site.callers.values()))
        program = caller.open()
        request = {"service": "transfer", "body": {"amount": 40}}
        assert caller.call(program, "pay", **request).document["verdict"] == "ran"
        caller.end(program)

        def is_forgotten():
            return caller.call(program, "pay", **request).status == 404

        wait_until(is_forgotten, "the program is forgotten")
        for box in site.callers:
            reply = site.http.request(
                "POST",
                site.callers[box],
                f"/v1/programs/{program}/calls",
                request,
                {"Idempotency-Key": "pay"},
            )
            assert reply.document["code"] == "unknown_program"
            assert reply.document["verdict"] == "may have run"
