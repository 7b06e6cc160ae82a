"""Runs planned programs against a site and notes what became of them."""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from experiments.caller import Caller
from experiments.program_plan import SUB_AGENT_TOKENS

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from experiments.http_json import HttpJson
    from experiments.local_site import LocalSite
    from experiments.program_plan import ProgramPlan, TurnPlan

DRAIN_SECONDS: Final = 40.0


@dataclass
class LoadResult:
    """What became of the programs of one run."""

    latencies: list[float] = field(default_factory=list)
    slowdowns: list[float] = field(default_factory=list)
    finished_at: list[float] = field(default_factory=list)
    by_kind: dict[str, list[float]] = field(default_factory=dict)
    refusals: Counter[str] = field(default_factory=Counter)
    lost: int = 0
    doubled: int = 0
    out_of_order: int = 0
    failed: list[str] = field(default_factory=list)
    unfinished: int = 0


class LoadRun:
    """One thread for each program under way; arrivals do not wait for answers."""

    def __init__(
        self,
        site: LocalSite,
        http: HttpJson,
        idle_seconds: Callable[[ProgramPlan], float],
    ) -> None:
        self.site = site
        self.http = http
        self.idle_seconds = idle_seconds
        self.result = LoadResult()
        self.lock = threading.Lock()
        self.started = 0.0

    def run(self, plans: Sequence[ProgramPlan]) -> LoadResult:
        """Run every plan at its arrival; return when they ended or time is up."""
        self.started = time.monotonic()
        threads = []
        for plan in plans:
            time.sleep(max(0.0, self.started + plan.arrival - time.monotonic()))
            thread = threading.Thread(target=self.run_plan, args=(plan,), daemon=True)
            thread.start()
            threads.append(thread)
        deadline = time.monotonic() + DRAIN_SECONDS
        for thread in threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        self.result.unfinished = sum(thread.is_alive() for thread in threads)
        return self.result

    def run_closed(
        self, plans: Sequence[ProgramPlan], under_way: int, seconds: float
    ) -> LoadResult:
        """Keep so many programs under way for some seconds."""
        self.started = time.monotonic()
        remaining = iter(plans)

        def work() -> None:
            while time.monotonic() - self.started < seconds:
                with self.lock:
                    plan = next(remaining, None)
                if plan is None:
                    return
                self.run_plan(plan)

        threads = [threading.Thread(target=work) for _ in range(under_way)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.result

    def run_plan(self, plan: ProgramPlan) -> None:
        """Run one program and note how it went."""
        caller = Caller(list(self.site.callers.values()), plan.number, self.http)
        arrived = time.monotonic()
        try:
            self.run_program(caller, plan)
        except Exception as error:
            with self.lock:
                self.result.failed.append(f"{plan.number}: {error!r}")
        else:
            now = time.monotonic()
            with self.lock:
                self.result.latencies.append(now - arrived)
                slowdown = (now - arrived) / self.idle_seconds(plan)
                self.result.slowdowns.append(slowdown)
                self.result.finished_at.append(now - self.started)
                kind = self.result.by_kind.setdefault(plan.kind, [])
                kind.append(now - arrived)
        with self.lock:
            self.result.refusals.update(caller.refusals)

    def run_program(self, caller: Caller, plan: ProgramPlan) -> None:
        """Run the calls of one program in order, and check its history."""
        program = caller.open()
        for index, turn in enumerate(plan.turns):
            text = turn.text if index else f"{plan.shared_text}\n{turn.text}"
            self.call(caller, program, f"turn-{index}", text, turn.max_tokens)
            if turn.has_sub_agent:
                self.run_sub_agent(caller, program, plan, turn)
            time.sleep(turn.pause_seconds)
        shown = caller.show(program)
        keys = [call["key"] for call in shown["calls"]]
        wanted = [f"turn-{index}" for index in range(len(plan.turns))]
        with self.lock:
            self.result.lost += len(set(wanted) - set(keys))
            self.result.doubled += len(keys) - len(set(keys))
            self.result.out_of_order += keys != wanted and set(keys) == set(wanted)
        caller.end(program)

    def run_sub_agent(
        self, caller: Caller, parent: str, plan: ProgramPlan, turn: TurnPlan
    ) -> None:
        """Run a helper on the same shared text."""
        child = caller.open(parent=parent, tokens=20_000, calls=4)
        text = f"{plan.shared_text}\n{turn.text}"
        self.call(caller, child, "ask", text, SUB_AGENT_TOKENS)
        caller.end(child)

    def call(
        self, caller: Caller, program: str, key: str, text: str, max_tokens: int
    ) -> None:
        """Run one call to its end, again when it was not run."""
        reply = caller.call(
            program,
            key,
            service="agent",
            messages=[{"role": "user", "content": text}],
            max_tokens=max_tokens,
        )
        if reply.document.get("verdict") != "ran":
            raise ValueError(f"call failed: {reply.document}")
