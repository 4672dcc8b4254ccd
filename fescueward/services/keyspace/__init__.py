"""Ownership and placement of numeric key ranges."""
