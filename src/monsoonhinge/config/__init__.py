"""Configuration objects: models, validation, digests and deltas."""
