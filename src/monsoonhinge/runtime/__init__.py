"""What every process has: settings, logs, operations server, drain."""
