"""Tests of the use of the network link."""
