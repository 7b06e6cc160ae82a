"""Clients of the targets: model engines, plain services and tools."""
