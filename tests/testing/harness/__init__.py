"""Tests of the process harness."""
