"""Records a session, with what differs from run to run made alike."""

from __future__ import annotations

import json
import re
from pathlib import Path

FOLDER = Path(__file__).parent


class Session:
    """Requests, answers and records of one session, as lines of text."""

    def __init__(self, site):
        self.site = site
        self.lines = []
        self.names = {}

    def normalise(self, text):
        """Replace ids, addresses and times by names in order of appearance."""

        def name(match):
            found = match.group(0)
            kind = "program" if found.startswith("p-") else "box"
            count = sum(1 for n in self.names.values() if n.startswith(kind)) + 1
            return self.names.setdefault(found, f"{kind}-{count}")

        text = re.sub(r"p-box-\d+\.\d+-\d+-\d+", name, text)
        text = re.sub(r"box-\d+(\.\d+)?", "box", text)
        text = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
        text = re.sub(r"(runner|api|transfer|check)-\d+", r"\1", text)
        text = re.sub(r'"cached_tokens": \d+', '"cached_tokens": N', text)
        text = re.sub(r'"retry_after": [\d.]+', '"retry_after": N', text)
        return re.sub(r"(HTTPConnection|HTTPConnectionPool)\(.*?\"", 'ERROR"', text)

    def note(self, what, document):
        """Add one line of the session."""
        text = json.dumps(document, sort_keys=True)
        self.lines.append(self.normalise(f"{what} {text}"))

    def call(self, caller, program, key, **request):
        """Run a call and note the request and its answer."""
        self.note(f"call {program} {key}", request)
        reply = caller.call(program, key, **request)
        self.note(f"  {reply.status}", reply.document)
        return reply

    def show(self, caller, program):
        """Note what the system says of a program."""
        shown = caller.show(program)
        for field in ("home", "holders", "epoch"):
            del shown[field]
        self.note("show", shown)

    def check(self, name, is_written):
        """Compare with the golden file, or write it."""
        path = FOLDER / f"{name}.txt"
        text = "\n".join(self.lines) + "\n"
        if is_written:
            path.write_text(text)
        assert text == path.read_text()
