"""Gateway for callers: admission, queueing, routing and forwarding."""
