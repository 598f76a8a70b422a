"""The amaranthflow daemon, one process on every entry instance."""
