"""Generated code of version 1 of the schema. Do not edit by hand."""
