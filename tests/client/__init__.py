"""Tests of fescueward.client."""
