"""Tests of fescueward.services."""
