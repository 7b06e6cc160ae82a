"""Requests under which targets crash: who counts them, and when sending them ends."""
