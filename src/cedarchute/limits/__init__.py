"""Rate limits of workspaces and the retry budget."""
