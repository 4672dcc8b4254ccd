"""Tests of fescueward."""
