"""The entry host daemon: a tree of supervised parts on one asyncio loop."""
