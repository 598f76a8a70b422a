"""Messages and services of amaranthflow, generated from the schema files."""
