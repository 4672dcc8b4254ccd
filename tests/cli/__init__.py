"""Tests of fescueward.cli."""
