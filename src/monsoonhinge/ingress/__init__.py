"""Requests that are recognised by host and path."""
