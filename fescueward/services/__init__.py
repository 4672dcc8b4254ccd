"""The services of an agent, one module each. They find each other in the registry by name."""
