"""What a program has spent, joined from what several holders know."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.turns.messages import Account


def sum_accounts(accounts: list[Account], turn: str) -> int:
    """Return the tokens of a program but for one turn, joined from accounts.

    What one holder says is settled goes before what another still holds as open.
    """
    joined: dict[str, int] = {}
    for account in accounts:
        for known, tokens in account.open.items():
            joined[known] = max(tokens, joined.get(known, 0))
    for account in accounts:
        joined.update(account.settled)
    joined.pop(turn, None)
    return sum(joined.values())
