"""Targets that register with the control members, and their models."""
