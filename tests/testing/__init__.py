"""Tests of the test harness, load generator and stand-ins."""
