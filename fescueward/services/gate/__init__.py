"""The part of an agent that runs requests on the upstream of its VM and watches that upstream."""
