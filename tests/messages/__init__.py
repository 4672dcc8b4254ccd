"""Tests of fescueward.messages."""
