from __future__ import annotations

import itertools


class CallOrder:
    """What callers and targets show of the order in which calls were accepted.

    A call was accepted after it was first asked, and before its first answer and its
    first run at a target. Where that leaves no choice, the history has to have the
    same order; every call that was answered or ran has to be in it. Plain calls have to
    be in it in the order in which they ran.
    """

    def __init__(self):
        self.steps = itertools.count()
        self.first_asked = {}
        self.accepted_by = {}
        self.ran = []

    def on_asked(self, program, key):
        self.first_asked.setdefault((program, key), next(self.steps))

    def on_accepted(self, program, key):
        """Note that a call was answered or ran, so that it was accepted before."""
        self.accepted_by.setdefault((program, key), next(self.steps))

    def on_ran(self, program, key):
        """Note a run at a plain service."""
        self.ran.append((program, key))
        self.on_accepted(program, key)

    def check(self, program, kept):
        """Compare the keys of a program's history, in its order, with what was seen."""
        accepted = {key for (name, key) in self.accepted_by if name == program}
        missing = accepted - set(kept)
        assert not missing, f"history lost: {sorted(missing)} of {kept}"
        ran = [key for (name, key) in self.ran if name == program]
        assert [key for key in kept if key in ran] == ran, (
            f"history out of order: {kept}, but {ran} ran"
        )
        for earlier, later in itertools.combinations(kept, 2):
            asked = self.first_asked[(program, earlier)]
            accepted_by = self.accepted_by.get((program, later), asked)
            assert accepted_by >= asked, (
                f"history out of order: {later} was accepted before {earlier} was asked"
            )
