"""The `lentilpath` command line for operators."""
