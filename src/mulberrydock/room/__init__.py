"""Who gets the room of a pool of engines while it is short.

What belongs here: the order of requests that compete for an engine, whether one is
admitted or refused at once, and when a refused one should return. Everything here
decides from arguments, the present time included; nothing here knows of networks.

It may import the declared routes and loads (``request``, ``peer_loads``, ``demand``),
but nothing that sends, and nothing of ``platform``.
"""
