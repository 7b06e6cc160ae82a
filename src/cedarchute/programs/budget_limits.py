"""Resolution of the budget of a new program."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarchute.problem import Problem
from cedarchute.programs.budget import Budget

if TYPE_CHECKING:
    from cedarchute.operators.site_file import WorkspaceSection
    from cedarchute.programs.requests import OpenRequest


def resolve_budget(request: OpenRequest, section: WorkspaceSection) -> Budget:
    """Return the requested budget; omitted limits default to those of the workspace.

    Raises
    ------
    Problem
        ``budget_too_large`` when a limit exceeds that of the workspace.
    """
    requested = request.budget
    tokens = requested.tokens or section.program_tokens
    calls = requested.calls or section.program_calls
    seconds = requested.seconds or section.program_seconds
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
