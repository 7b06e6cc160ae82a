"""The error that reaches a caller, with a code and a verdict."""

from __future__ import annotations

from typing import Final

from cedarchute.verdict import Verdict

PROBLEM_TYPE: Final = "application/problem+json"


class Problem(Exception):  # noqa: N818
    """A request that was refused or failed, as the caller is told it.

    Parameters
    ----------
    code : str
        A stable name for programs to compare, such as ``budget_spent``.
    detail : str
        One sentence for people: what is wrong and how to mend it.
    status : int
        The HTTP status of the answer.
    verdict : Verdict
        Whether the request may have run.
    retry_after : float or None
        Seconds after which asking again makes sense.
    """

    def __init__(
        self,
        code: str,
        detail: str,
        *,
        status: int = 400,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.status = status
        self.verdict = verdict
        self.retry_after = retry_after

    @property
    def document(self) -> dict[str, object]:
        """The problem details document (RFC 9457) of this error."""
        document: dict[str, object] = {
            "type": f"urn:cedarchute:problem:{self.code}",
            "title": self.code.replace("_", " "),
            "status": self.status,
            "code": self.code,
            "detail": self.detail,
            "verdict": self.verdict.value,
        }
        if self.retry_after is not None:
            document["retry_after"] = round(self.retry_after, 3)
        return document
