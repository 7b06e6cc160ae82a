"""Turn histories and token budgets of programs, replicated by quorum."""
