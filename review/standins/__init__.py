"""Stand-ins of the platform and tools for the cases of the review."""
