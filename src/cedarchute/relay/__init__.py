"""HTTP as bytes: callers on one side, targets on the other, nothing altered."""
