"""Tests of the emulator of the platform."""
