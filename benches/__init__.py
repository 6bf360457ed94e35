"""Measurements of lentilpath that are not shipped."""
