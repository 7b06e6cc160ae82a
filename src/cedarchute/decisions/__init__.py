"""Decisions under load: inputs in, a decision out; no sockets, clocks or tasks."""
