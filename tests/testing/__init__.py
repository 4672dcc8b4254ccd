"""Tests of fescueward.testing."""
