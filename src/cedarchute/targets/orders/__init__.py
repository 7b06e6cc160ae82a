"""Reconciliation of the models and versions that engines serve."""
