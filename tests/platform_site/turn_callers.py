"""Takes turns of programs, and answers them."""

from __future__ import annotations

from experiments.raw_caller import call
from standins.raw_target import LAST_CHUNK, chunk, event, stream_head


def say(*words):
    """Return a script that answers with one event for each word."""

    def script(request, connection):
        connection.sendall(stream_head(request))
        for number, word in enumerate(words):
            connection.sendall(chunk(event(number, word)))
        connection.sendall(LAST_CHUNK)

    return script


def turn_headers(program, previous="", budget=1000, most=30):
    lines = [f"Program-Id: {program}", f"Token-Count: 100,{most}"]
    if budget is not None:
        lines.append(f"Token-Budget: {budget}")
    if previous:
        lines.append(f"Previous-Turn: {previous}")
    return "".join(line + "\r\n" for line in lines).encode()


def take_turn(address, turn, body, program, patience=8000, **terms):
    headers = turn_headers(program, **terms)
    return call(
        address, b"/turn/x", turn.encode(), body, headers=headers, patience=patience
    )
