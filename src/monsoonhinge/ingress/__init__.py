"""Gateway that routes HTTP requests to services by host and path."""
