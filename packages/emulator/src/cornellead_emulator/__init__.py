"""Emulates model servers on a simulated clock and compares placement policies on named loads.

The routers in it decide with the modules of the gateway; only network and servers are emulated.
"""
