"""Stand-ins for the external systems, for tests and local fleets.

The external systems are the store, the engines, the services and the VM list.
"""
