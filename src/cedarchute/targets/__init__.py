"""What stands behind the system: model engines, plain services and tools."""
