"""Merges the accounts of a program from several holders."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarchute.turns.messages import Account


def sum_accounts(accounts: list[Account], turn: str) -> int:
    """Return the tokens that a program has used, without those of `turn`.

    A settled amount at any holder overrides a reservation at another.
    """
    merged: dict[str, int] = {}
    for account in accounts:
        for turn_id, tokens in account.open.items():
            merged[turn_id] = max(tokens, merged.get(turn_id, 0))
    for account in accounts:
        merged.update(account.settled)
    merged.pop(turn, None)
    return sum(merged.values())


def knows_turn(account: Account, turn: str) -> bool:
    """Whether a holder has a reservation of `turn`, or its final token count."""
    return turn in account.open or turn in account.settled
