"""Ownership, placement and load of numeric key ranges."""
