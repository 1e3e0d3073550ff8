"""Serves many rarely used models from VMs that may lose power."""
