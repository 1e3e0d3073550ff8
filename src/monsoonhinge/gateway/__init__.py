"""Serves callers: admission, queues, routing, forwarding."""
