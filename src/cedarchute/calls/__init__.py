"""Handles calls of callers: plain calls and streamed turns of programs."""
