"""Error of a turn that its program's budget does not cover."""

from __future__ import annotations


class BudgetSpentError(Exception):
    """The turn does not fit into the budget of its program."""

    code = "budget_spent"
