"""The fixtures of this folder."""

from __future__ import annotations

from conftest_nodes import entry, nodes, own_nodes, serve  # noqa: F401
