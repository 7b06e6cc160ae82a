"""Routes, services and targets: where a call may go, and where it goes."""
