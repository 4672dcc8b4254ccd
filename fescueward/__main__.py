"""Entry point of `python -m fescueward`, which runs the command line."""

from .cli import main

main()
