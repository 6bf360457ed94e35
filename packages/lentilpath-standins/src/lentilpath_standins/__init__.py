"""Development stand-ins for the outside systems that lentilpath meets. Not shipped."""
