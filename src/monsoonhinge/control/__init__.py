"""The control process: replicated state machine, leases and its client."""
