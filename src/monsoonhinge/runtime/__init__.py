"""Parts common to all processes: settings, logs, operations, shutdown."""
