"""The services of an agent, which look each other up by name in the registry."""
