"""Tests of fescueward.daemons."""
