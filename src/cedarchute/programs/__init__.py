"""Program state, call execution, budgets and program lifecycle."""
