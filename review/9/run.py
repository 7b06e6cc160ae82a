"""A runner turns slow three times in a long turn; the next turn goes on from that one."""

import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
import harness as h

RETENTION_S = 60.0
EVENTS, GAP_S = 193, 0.3  # of a turn of 58 s
# `srv_slow`, the site's largest: one runner of seven (share 0.16), 5 times, 6.5 s; it
# comes three times while the turn is under way.
RUNNERS, SLOW_X, SLOW_FOR_S = 7, 5.0, 6.5
SLOW_AT_S = (5.0, 20.0, 35.0)
TIMEOUT_MS = 90_000


def is_slow(seconds):
    return h.TROUBLE and any(0 <= seconds - at < SLOW_FOR_S for at in SLOW_AT_S)


def handle(request):
    """Stream a turn; the runner that has the long one is the one that turns slow."""
    if not request.body.endswith(b"long"):
        time.sleep(0.02)
        return h.stream(request, [b"word"] * 3, gap_s=0.005)
    began = time.monotonic()
    done, step = 0.0, 0.02
    h.start_stream(request)
    sent = 0
    while sent < EVENTS:
        if done >= (sent + 1) * GAP_S:
            sent += 1
            request.connection.sendall(h.chunk(h.event(sent, b"w%d" % sent)))
            continue
        before = time.monotonic()
        time.sleep(step)
        spent = time.monotonic() - before
        done += spent / SLOW_X if is_slow(before - began) else spent
    request.connection.sendall(b"0\r\n\r\n")
    return True


def play(folder):
    with h.Site(folder) as site:
        site.configure(
            [h.route("/turn/", "streaming", "model", Retained=True, ItlTargetMs=400,
                     RetentionS=RETENTION_S, TimeoutMs=TIMEOUT_MS)],
            [h.service("model", engine=True)])
        for _ in range(RUNNERS):
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
        second = take_turn(first.attempt, b"long")
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
