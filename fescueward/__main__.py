"""Runs the command line as `python -m fescueward`."""

from .cli import main

main()
