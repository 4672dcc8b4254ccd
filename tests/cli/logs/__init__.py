"""Tests of the `logs` command."""
