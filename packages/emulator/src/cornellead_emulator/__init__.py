"""Emulates model servers on a simulated clock and compares placement policies under named loads.

The emulated routers make their decisions with the gateway's own modules; only the network and the
servers are emulated.
"""
