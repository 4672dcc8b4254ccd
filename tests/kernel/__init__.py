"""Tests of fescueward.kernel."""
