"""Turns of programs: their histories and budgets on a quorum of holders."""
