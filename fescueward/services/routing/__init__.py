"""From a caller's request to the upstream that serves it."""
