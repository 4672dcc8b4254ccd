"""Tests of the platform emulator."""
