"""Registry of targets, and placement of models on model engines."""
