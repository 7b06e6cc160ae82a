"""Budget reservations of sub-agents on their parents' budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.problem import Problem
from cedarchute.programs.budget import Budget
from cedarchute.programs.records import BudgetReserved, BudgetReturned

if TYPE_CHECKING:
    from cedarchute.copies.owned_partition import OwnedPartition
    from cedarchute.metrics import Metrics
    from cedarchute.programs.program import Program
    from cedarchute.programs.program_registry import ProgramRegistry
    from cedarchute.programs.requests import OpenRequest


class ChildBudgets:
    """Records reservations and refunds for sub-agents on their parents' logs."""

    def __init__(self, registry: ProgramRegistry, metrics: Metrics) -> None:
        self.registry = registry
        self.metrics = metrics

    def reserve(
        self, parent: Program, child: str, request: OpenRequest, budget: Budget
    ) -> Budget:
        """Reserve budget on the parent's log before the child is opened.

        Limits that the request leaves out default to half of what the parent has left.

        Raises
        ------
        Problem
            ``budget_spent`` when the parent has less than requested.
        """
        tokens = request.budget.tokens or max(1, parent.remaining_tokens // 2)
        calls = request.budget.calls or max(1, parent.remaining_calls // 2)
        if tokens > parent.remaining_tokens or calls > parent.remaining_calls:
            self.metrics.count_refusal("budget_spent")
            raise Problem(
                "budget_spent",
                f"The parent has {parent.remaining_tokens} tokens and "
                f"{parent.remaining_calls} calls left, less than the {tokens} and "
                f"{calls} asked for.",
                status=403,
            )
        self.registry.append(
            parent, [BudgetReserved(child=child, tokens=tokens, calls=calls)]
        )
        return Budget(tokens=tokens, calls=calls, seconds=budget.seconds)

    def refund(self, program: Program) -> None:
        """Return the unused budget of a sub-agent to its parent."""
        assert program.opened is not None
        parent = self.registry.programs.get(program.opened.parent or "")
        if parent is None or program.id not in parent.child_reservations:
            return
        returned = BudgetReturned(
            child=program.id,
            spent_tokens=program.spent_tokens,
            spent_calls=program.spent_calls,
        )
        self.registry.append(parent, [returned])

    def refund_missing_children(self, partition: OwnedPartition) -> None:
        """Refund the reservations of sub-agents that ended or were never opened.

        A box can fail between the records on the parent's and on the child's log; the
        box that takes over reconciles them.
        """
        for program in list(self.registry.programs.values()):
            if program.partition is not partition:
                continue
            for child_id in list(program.child_reservations):
                child = self.registry.programs.get(child_id)
                if child is None:
                    returned = BudgetReturned(
                        child=child_id, spent_tokens=0, spent_calls=0
                    )
                    self.registry.append_until_replicated(program, [returned])
                elif child.ended is not None:
                    self.refund(child)
