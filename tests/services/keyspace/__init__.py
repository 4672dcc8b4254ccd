"""Tests of the services for numeric key ranges."""
