"""Stand-in targets: a model engine and a plain service."""
