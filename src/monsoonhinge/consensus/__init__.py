"""Replicated log: Raft core, storage and the driver around them."""
