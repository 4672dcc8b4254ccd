"""The side of the agent that is beside the upstream."""
