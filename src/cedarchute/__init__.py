"""Cedarchute, a scheduler for agent programs."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"
