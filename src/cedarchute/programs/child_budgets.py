"""Splits parts of a budget off for sub-agents, and gives back what they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.problem import Problem
from cedarchute.programs.budget import Budget
from cedarchute.programs.records import PartReserved, PartReturned

if TYPE_CHECKING:
    from cedarchute.copies.owned_partition import OwnedPartition
    from cedarchute.metrics import Metrics
    from cedarchute.programs.program import Program
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.programs.requests import OpenRequest


class ChildBudgets:
    """Keeps the parts of sub-agents on the logs of their parents."""

    def __init__(self, home: ProgramRegistry, metrics: Metrics) -> None:
        self.home = home
        self.metrics = metrics

    def reserve(
        self, parent: Program, child: str, request: OpenRequest, budget: Budget
    ) -> Budget:
        """Reserve the child's part on the parent's log before the child exists."""
        tokens = request.budget.tokens or max(1, parent.remaining_tokens // 2)
        calls = request.budget.calls or max(1, parent.left_calls // 2)
        if tokens > parent.remaining_tokens or calls > parent.left_calls:
            self.metrics.count_refusal("budget_spent")
            raise Problem(
                "budget_spent",
                f"The parent has {parent.remaining_tokens} tokens and "
                f"{parent.left_calls} calls left, less than the {tokens} and "
                f"{calls} asked for.",
                status=403,
            )
        self.home.append(
            parent, [PartReserved(child=child, tokens=tokens, calls=calls)]
        )
        return Budget(tokens=tokens, calls=calls, seconds=budget.seconds)

    def give_back(self, program: Program) -> None:
        """Give what a sub-agent has left back to its parent."""
        assert program.opened is not None
        parent = self.home.programs.get(program.opened.parent or "")
        if parent is None or program.id not in parent.child_reservations:
            return
        returned = PartReturned(
            child=program.id,
            spent_tokens=program.spent_tokens,
            spent_calls=program.spent_calls,
        )
        self.home.append(parent, [returned])

    def refund_missing_children(self, partition: OwnedPartition) -> None:
        """Give back the parts of sub-agents that never came to be or have ended.

        A box may be lost between the two records of a part; whoever takes over
        makes them agree.
        """
        for program in list(self.home.programs.values()):
            if program.partition is not partition:
                continue
            for child_id in list(program.child_reservations):
                child = self.home.programs.get(child_id)
                if child is None:
                    returned = PartReturned(
                        child=child_id, spent_tokens=0, spent_calls=0
                    )
                    self.home.append_surely(program, [returned])
                elif child.ended is not None:
                    self.give_back(child)
