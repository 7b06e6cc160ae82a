"""Calls of callers: one plain call, one turn of a program."""
