"""What the platform gives: its key-value service and its list of boxes."""
