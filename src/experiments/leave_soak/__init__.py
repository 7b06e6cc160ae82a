"""A soak of targets that leave while they, boxes and the store are disturbed."""
