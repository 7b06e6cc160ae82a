"""A runner turns slow during a turn; the next turn goes on from that one."""

import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
import harness as h

RETENTION_S = 60.0
EVENTS = 50
GAP_S = 0.3  # of a turn of 15 s
SLOW_X = 5.0  # `srv_slow`: the site's largest
TIMEOUT_MS = 90_000


class Runners:
    """Stream turns, slower while `is_slow`; keep what they were sent."""

    def __init__(self):
        self.is_slow = False
        self.bodies = {}

    def __call__(self, request):
        self.bodies[request.id] = request.body
        if request.body.endswith(b"long"):
            gap = GAP_S * (SLOW_X if self.is_slow else 1)
            return h.stream(request, [b"w%d" % n for n in range(EVENTS)], gap_s=gap)
        time.sleep(0.02)
        return h.stream(request, [b"word"] * 3, gap_s=0.005)


def play(folder):
    with h.Site(folder) as site:
        site.configure(
            [h.route("/turn/", "streaming", "model", Retained=True, ItlTargetMs=400,
                     RetentionS=RETENTION_S, TimeoutMs=TIMEOUT_MS)],
            [h.service("model", engine=True)])
        handle = Runners()
        for _ in range(2):
            site.add_runner("model", handle)
        site.start()

        def take_turn(previous, text):
            headers = {"Program-Id": "3fa81c", "Session-Id": "77d20b", "Model": "m",
                       "Token-Count": f"100,{3 * EVENTS}",
                       "Deadline-Ms": str(TIMEOUT_MS)}
            if previous:
                headers["Previous-Turn"] = previous
            for _ in range(3):
                entry = random.choice(site.entries)
                sent_at = time.monotonic()
                answer = h.send_request(entry.callers, "POST", "/turn/1", headers, text)
                site.record(f"client sent {answer.attempt}, previous "
                            f"{previous or 'none'}, to {entry.name}: {answer.status} "
                            f"whole {answer.whole} {answer.error}, "
                            f"{len(answer.events)} events in "
                            f"{time.monotonic() - sent_at:.1f} s")
                if answer.status in (200, 404, 410):
                    break
                time.sleep(0.3)
            return answer

        first = take_turn("", b"one")
        handle.is_slow = h.TROUBLE
        second = take_turn(first.attempt, b"long")
        handle.is_slow = False
        if not (first.whole and second.whole and second.status == 200):
            raise h.CannotRun("the first turns were not served whole")
        answered_at = time.monotonic()
        time.sleep(2)
        third = take_turn(second.attempt, b"three")
        age = time.monotonic() - answered_at
        site.record(f"{third.status} for a turn that was answered whole {age:.1f} s ago; "
                    f"RetentionS is {RETENTION_S}")
        print(f"{third.status}, {age:.1f} s after the answer")
        return third.status in (404, 410)


h.main(Path(__file__).resolve().parent, play)
