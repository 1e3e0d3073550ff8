"""Decides which replicas run where, and holds the token buckets."""
