"""Tests of fescueward.interfaces."""
