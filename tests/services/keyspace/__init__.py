"""Tests of key ranges."""
