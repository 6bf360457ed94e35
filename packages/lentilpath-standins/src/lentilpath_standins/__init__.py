"""Development stand-ins for the external systems that lentilpath talks to. Not shipped."""
