"""Emulated model engines, plain services and weight stores for tests."""
