"""Announcements of targets and orders to them."""
