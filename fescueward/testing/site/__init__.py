"""Emulator of the users' platform that runs real agents on loopback."""
