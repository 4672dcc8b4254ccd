"""An emulator of the users' platform, on which real agents run on loopback."""
