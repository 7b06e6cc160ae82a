"""What budget a new program gets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.problem import Problem
from cedarchute.programs.budget import Budget

if TYPE_CHECKING:
    from cedarchute.operators.site_file import WorkspaceSection
    from cedarchute.programs.requests import OpenRequest


def make_budget(request: OpenRequest, section: WorkspaceSection) -> Budget:
    """Return the budget asked for, bounded by that of the workspace."""
    asked = request.budget
    tokens = asked.tokens or section.program_tokens
    calls = asked.calls or section.program_calls
    seconds = asked.seconds or section.program_seconds
    if (
        tokens > section.program_tokens
        or calls > section.program_calls
        or seconds > section.program_seconds
    ):
        raise Problem(
            "budget_too_large",
            f"A program of this workspace may have at most {section.program_tokens} "
            f"tokens, {section.program_calls} calls and "
            f"{section.program_seconds:g} seconds.",
        )
    return Budget(tokens=tokens, calls=calls, seconds=seconds)
